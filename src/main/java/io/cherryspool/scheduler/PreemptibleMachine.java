package io.cherryspool.scheduler;

import io.cherryspool.model.Job;
import io.cherryspool.model.Resources;
import io.cherryspool.scheduler.ClusterView.MachineView;
import io.cherryspool.scheduler.ClusterView.RunningTask;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** A machine with its tasks that may be preempted, updated while victims are chosen. */
final class PreemptibleMachine {
  /** Orders the candidates by lost work, and those with equal loss by task id. */
  static final Comparator<Candidate> LEAST_LOSS_FIRST =
      Comparator.comparingDouble(Candidate::lostCpuSeconds)
          .thenComparing(candidate -> candidate.task.task());

  /**
   * Added to each task's lost run time, so that larger tasks count as a larger loss even if no work
   * is lost.
   */
  private static final double BASE_LOSS_SECONDS = 1;

  private static final double NANOS_PER_SECOND = 1e9;

  private final MachineView machine;
  private final List<Candidate> candidates = new ArrayList<>(4);
  private Resources free;
  private boolean hasStoppingTasks;

  /**
   * A running task that may be preempted. Its priority and loss are computed only once, since a
   * machine may have dozens of small tasks.
   *
   * @param priority the ordinal of the priority, raised by the job's age
   * @param lostCpuSeconds the work in CPU seconds that is lost if the task is stopped
   */
  record Candidate(RunningTask task, int priority, double lostCpuSeconds) {

    /**
     * Creates a candidate and computes its loss: the whole run so far, or, for a task with
     * checkpoints, at most the time that saving a checkpoint takes.
     */
    static Candidate of(RunningTask task, int priority, Duration monotonicNow) {
      Job job = task.job();
      double seconds =
          task.runningSince() == null ? 0 : seconds(monotonicNow.minus(task.runningSince()));
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
     * Whether this running task may be preempted for a task of the job because its priority is
     * lower. The running task's priority is raised by age, since old tasks would otherwise be
     * preempted again and again and never complete. The priority of the given job is not raised.
     */
    boolean hasLowerPriorityThan(Job job) {
      return priority < job.priority().ordinal();
    }
  }

  /**
   * Creates a machine without candidates.
   *
   * @param assigned the resources of the tasks that the round has placed on the machine
   */
  PreemptibleMachine(MachineView machine, Resources assigned) {
    this.machine = machine;
    this.free = machine.free().minus(assigned);
  }

  MachineView machine() {
    return machine;
  }

  /** Whether the job's constraints allow the machine. */
  boolean isAllowedFor(Job job) {
    return PlacementConstraints.allows(job, machine.type(), machine.zone(), machine.isSpot());
  }

  /** Returns the free resources, which include those of tasks that are being stopped. */
  Resources free() {
    return free;
  }

  /**
   * Returns the tasks that are not being stopped; after {@link #sortCandidates} the least loss
   * comes first.
   */
  List<Candidate> candidates() {
    return candidates;
  }

  void addCandidate(Candidate candidate) {
    candidates.add(candidate);
  }

  void sortCandidates() {
    candidates.sort(LEAST_LOSS_FIRST);
  }

  /** Whether any task on the machine is being stopped. */
  boolean hasStoppingTasks() {
    return hasStoppingTasks;
  }

  /** Adds a task that is being stopped; its resources count as free. */
  void addStoppingTask(RunningTask task) {
    hasStoppingTasks = true;
    free = free.plus(task.job().perTask());
  }

  /** Moves a candidate to the tasks that are being stopped. */
  void preempt(Candidate victim) {
    candidates.remove(victim);
    addStoppingTask(victim.task);
  }

  /** Subtracts the amount from the free resources, for a task that will run on the machine. */
  void reserve(Resources amount) {
    free = free.minus(amount);
  }
}
