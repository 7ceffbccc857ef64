package io.cherryspool.scheduler;

import io.cherryspool.model.Job;
import io.cherryspool.model.Resources;
import io.cherryspool.scheduler.ClusterView.MachineView;
import io.cherryspool.scheduler.ClusterView.RunningTask;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** A machine with its tasks that could be preempted, while victims are chosen. */
final class PreemptibleMachine {
  /** The order in which tasks are preempted, by the loss and then by the task's id. */
  static final Comparator<Candidate> LEAST_LOSS_FIRST =
      Comparator.comparingDouble(Candidate::lostCpuSeconds)
          .thenComparing(candidate -> candidate.task.task());

  /** Added to a task's run time, so that its size counts even if nothing is lost. */
  private static final double BASE_LOSS_SECONDS = 1;

  private static final double NANOS_PER_SECOND = 1e9;

  private final MachineView machine;
  private final List<Candidate> candidates = new ArrayList<>(4);
  private Resources free;
  private boolean hasStoppingTasks;

  /**
   * A running task that could be preempted. Rank and loss are computed once, since a machine may
   * have dozens of small tasks.
   *
   * @param priority the priority's ordinal with the job's age considered
   * @param lostCpuSeconds the work in CPU seconds that is lost if the task is stopped
   */
  record Candidate(RunningTask task, int priority, double lostCpuSeconds) {

    /**
     * A candidate with its loss: all of its run so far, or with checkpoints at most the time that
     * it takes to save one.
     */
    static Candidate of(RunningTask task, int priority, Duration steadyNow) {
      Job job = task.job();
      double seconds =
          task.runningSince() == null ? 0 : seconds(steadyNow.minus(task.runningSince()));
      if (!job.checkpointInterval().isZero()) {
        seconds = Math.min(seconds, seconds(job.checkpointDuration()));
      }
      double cpus = Math.max(QueueOrder.MIN_TASK_CPUS, job.perTask().cpus());
      return new Candidate(task, priority, (seconds + BASE_LOSS_SECONDS) * cpus);
    }

    private static double seconds(Duration duration) {
      return duration.toNanos() / NANOS_PER_SECOND;
    }

    Job job() {
      return task.job();
    }

    /**
     * Whether the task may be preempted for any task of the job. Work whose priority was raised by
     * age is not preempted by that priority, or it would never complete.
     */
    boolean hasLowerPriorityThan(Job job) {
      return priority < job.priority().ordinal();
    }
  }

  /**
   * Starts from what the round leaves free.
   *
   * @param assigned the resources of the tasks that the round places on the machine
   */
  PreemptibleMachine(MachineView machine, Resources assigned) {
    this.machine = machine;
    this.free = machine.free().minus(assigned);
  }

  MachineView machine() {
    return machine;
  }

  /** Whether the job may run here. */
  boolean isAllowedFor(Job job) {
    return PlacementConstraints.allows(job, machine.type(), machine.zone(), machine.isSpot());
  }

  /** The resources that no task needs any longer; tasks that are being stopped count as gone. */
  Resources free() {
    return free;
  }

  /** The tasks that are not being stopped, by least loss after {@link #sortCandidates}. */
  List<Candidate> candidates() {
    return candidates;
  }

  void addCandidate(Candidate candidate) {
    candidates.add(candidate);
  }

  void sortCandidates() {
    candidates.sort(LEAST_LOSS_FIRST);
  }

  /** Whether any task here is being stopped. */
  boolean hasStoppingTasks() {
    return hasStoppingTasks;
  }

  /** Counts a task that is being stopped as gone. */
  void addStoppingTask(RunningTask task) {
    hasStoppingTasks = true;
    free = free.plus(task.job().perTask());
  }

  /** Counts a victim as gone. */
  void preempt(Candidate victim) {
    candidates.remove(victim);
    addStoppingTask(victim.task);
  }

  /** Keeps so much of the free resources for others. */
  void reserve(Resources amount) {
    free = free.minus(amount);
  }
}
