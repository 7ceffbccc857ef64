package io.cherryspool.scheduler;

import io.cherryspool.model.Job;
import io.cherryspool.model.Resources;
import io.cherryspool.scheduler.ClusterView.MachineView;
import java.util.HashSet;
import java.util.Set;

/** A machine's remaining capacity while a round's plan places tasks on it. */
final class Bin {
  /** A machine with at most this many free CPUs counts as full, since every task needs more. */
  static final double MIN_FREE_CPUS = 0.01;

  private final MachineView machine;
  private final Set<String> addedImages = new HashSet<>(2);
  private Resources free;
  private double score;
  private boolean isReserved;

  Bin(MachineView machine) {
    this.machine = machine;
    this.free = machine.free();
  }

  MachineView machine() {
    return machine;
  }

  /** The resources that neither the machine's owned tasks nor those placed in this round use. */
  Resources free() {
    return free;
  }

  boolean isFull() {
    return free.cpus() <= MIN_FREE_CPUS;
  }

  /**
   * Whether the machine has the image, is fetching it, or will fetch it for a task placed in this
   * round.
   */
  boolean hasImage(String image) {
    return machine.cachedImages().contains(image) || addedImages.contains(image);
  }

  /** Whether the job's constraints allow the machine. */
  boolean isAllowedFor(Job job) {
    return PlacementConstraints.allows(job, machine.type(), machine.zone(), machine.isSpot());
  }

  /**
   * Whether the job's constraints allow the machine and one task of the job fits into its free
   * resources.
   */
  boolean accepts(Job job) {
    return job.perTask().fitsIn(free) && isAllowedFor(job);
  }

  /** Whether the job is excluded from the machine because its tasks recently failed there. */
  boolean excludes(Job job) {
    return machine.excludedJobs().contains(job.id());
  }

  /**
   * Subtracts the resources of the job's tasks, and records that the machine will have the job's
   * image.
   */
  void place(Job job, int taskCount) {
    free = free.minus(job.perTask().times(taskCount));
    addedImages.add(job.image());
  }

  /** The machine's score in the last ranking that contains it; lower is better. */
  double score() {
    return score;
  }

  void setScore(double score) {
    this.score = score;
  }

  /** Whether the machine's free resources are reserved, so that no other task is placed on it. */
  boolean isReserved() {
    return isReserved;
  }

  void reserve() {
    isReserved = true;
  }
}
