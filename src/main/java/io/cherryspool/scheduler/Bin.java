package io.cherryspool.scheduler;

import io.cherryspool.model.Job;
import io.cherryspool.model.Resources;
import io.cherryspool.scheduler.ClusterView.MachineView;
import java.util.HashSet;
import java.util.Set;

/** A machine while a round's plan fills it. */
final class Bin {
  /** A machine with no more free CPUs than this is full: no task is that small. */
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

  /** What the machine's tasks and those placed in this round leave. */
  Resources free() {
    return free;
  }

  boolean isFull() {
    return free.cpus() <= MIN_FREE_CPUS;
  }

  /** Whether the machine has the image, is fetching it, or will fetch it for a task placed here. */
  boolean hasImage(String image) {
    return machine.cachedImages().contains(image) || addedImages.contains(image);
  }

  /** Whether the job's constraints allow the machine. */
  boolean isAllowedFor(Job job) {
    return PlacementConstraints.allows(job, machine.type(), machine.zone(), machine.isSpot());
  }

  /** Whether the job's constraints allow the machine, and a task of the job fits. */
  boolean accepts(Job job) {
    return job.perTask().fitsIn(free) && isAllowedFor(job);
  }

  /** Whether the job must not be placed here since it failed here. */
  boolean excludes(Job job) {
    return machine.excludedJobs().contains(job.id());
  }

  /** Places tasks of the job. */
  void place(Job job, int taskCount) {
    free = free.minus(job.perTask().times(taskCount));
    addedImages.add(job.image());
  }

  /** The score of the last ranking that the bin was part of. */
  double score() {
    return score;
  }

  void setScore(double score) {
    this.score = score;
  }

  /** Whether the machine's free resources are kept for a job that does not fit yet. */
  boolean isReserved() {
    return isReserved;
  }

  void reserve() {
    isReserved = true;
  }
}
