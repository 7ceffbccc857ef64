package io.cherryspool.sim.check;

import io.cherryspool.model.Job;
import io.cherryspool.model.Resources;
import io.cherryspool.model.TaskId;
import io.cherryspool.model.Team;
import io.cherryspool.sim.fakes.FakeWorker;
import io.cherryspool.sim.time.VirtualTime;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Checks that the cluster makes progress after all faults have ended. Reports these violations:
 *
 * <ul>
 *   <li>{@code forgotten}: requests about an accepted job get no reply
 *   <li>{@code left_waiting}: a job waits although a machine has room for one of its tasks
 *   <li>{@code nothing_ran}, at the end of a run: no task was started
 *   <li>{@code unserved}, at the end of a run: an accepted job has not ended
 *   <li>{@code largest_late}, at the end of a run: most of the largest jobs of a class started late
 * </ul>
 */
final class ProgressRules {
  /** The maximum time without a reply about a job that has not ended. */
  private static final Duration ANSWER_LIMIT = Duration.ofSeconds(75);

  /**
   * The maximum time that a job may wait while a suitable machine has room and its team has quota.
   */
  private static final Duration WAITING_LIMIT = Duration.ofSeconds(90);

  /** At least half of the largest jobs of a class must start within this time after submission. */
  private static final Duration LARGEST_JOBS_START_LIMIT = Duration.ofMinutes(4);

  /** The number of largest jobs of a class with n jobs is {@code 1 + n / LARGEST_JOBS_DIVISOR}. */
  private static final int LARGEST_JOBS_DIVISOR = 10;

  private final VirtualTime time;
  private final Map<String, Team> teams;
  private final Map<String, JobObservations> jobs;
  private final FirstViolation violation;
  private final Map<String, Duration> waitingSince = new HashMap<>();
  private Duration faultsEndedAt;

  ProgressRules(
      VirtualTime time,
      Map<String, Team> teams,
      Map<String, JobObservations> jobs,
      FirstViolation violation) {
    this.time = time;
    this.teams = teams;
    this.jobs = jobs;
    this.violation = violation;
  }

  /**
   * The tasks assigned to all workers, the resources that they use by team, and the resources that
   * remain free by worker.
   */
  private static final class Assignments {
    private final Map<String, Resources> usageByTeam = new HashMap<>();
    private final Map<FakeWorker, Resources> freeByWorker = new HashMap<>();
    private final Set<String> tasks = new HashSet<>();
  }

  void setFaultsEndedAt(Duration moment) {
    faultsEndedAt = moment;
  }

  void checkProgress(Collection<FakeWorker> workers) {
    Assignments assignments = assignments(workers);
    for (Map.Entry<String, JobObservations> entry : jobs.entrySet()) {
      if (entry.getValue().isAccepted()) {
        checkAnswerTime(entry.getKey(), entry.getValue());
        checkWaitingTime(entry.getKey(), entry.getValue(), assignments);
      }
    }
  }

  private Assignments assignments(Collection<FakeWorker> workers) {
    Assignments result = new Assignments();
    for (FakeWorker worker : workers) {
      Resources free = worker.machine().type().capacity();
      for (String task : worker.assignedTasks()) {
        Job job = jobs.get(TaskId.parse(task).jobId()).job();
        free = free.minus(job.perTask());
        result.usageByTeam.merge(job.team(), job.perTask(), Resources::plus);
        result.tasks.add(task);
      }
      result.freeByWorker.put(worker, free);
    }
    return result;
  }

  private void checkAnswerTime(String id, JobObservations job) {
    Duration answeredAt = job.lastAnswerAt();
    Duration since = answeredAt.compareTo(faultsEndedAt) > 0 ? answeredAt : faultsEndedAt;
    violation.recordIf(
        !job.hasEnded() && isLongerAgo(since, ANSWER_LIMIT),
        "forgotten",
        id + " got no reply within the limit");
  }

  private void checkWaitingTime(String id, JobObservations observations, Assignments assignments) {
    if (isWaitingTimeLimited(observations) && canRunNow(observations, assignments)) {
      Duration since = waitingSince.computeIfAbsent(id, key -> time.now());
      violation.recordIf(isLongerAgo(since, WAITING_LIMIT), "left_waiting", id);
    } else {
      waitingSince.remove(id);
    }
  }

  /**
   * Whether the waiting time of the job is limited. Jobs that must run in a single zone or spread
   * over zones are excluded, since the zones in which their next task may run depend on where their
   * other tasks run.
   */
  private static boolean isWaitingTimeLimited(JobObservations observations) {
    Job job = observations.job();
    return !observations.hasEnded()
        && !observations.isCancelRequested()
        && !job.jobClass().equals(FakeWorker.FAILING_JOB_CLASS)
        && !job.requiresSingleZone()
        && !job.requiresZoneSpread();
  }

  private boolean canRunNow(JobObservations observations, Assignments assignments) {
    Job job = observations.job();
    Resources teamUsage = assignments.usageByTeam.getOrDefault(job.team(), Resources.NONE);
    return hasWaitingTask(observations, assignments.tasks)
        && teams.get(job.team()).isWithinQuota(teamUsage.plus(job.perTask()))
        && assignments.freeByWorker.entrySet().stream()
            .anyMatch(
                entry ->
                    job.perTask().fitsIn(entry.getValue())
                        && RuleChecker.isAllowedOn(job, entry.getKey().machine()));
  }

  private static boolean hasWaitingTask(JobObservations observations, Set<String> assigned) {
    Job job = observations.job();
    for (int i = 0; i < job.taskCount(); i++) {
      if (!observations.isTaskCompleted(i) && !assigned.contains(job.id() + "/" + i)) {
        return true;
      }
    }
    return false;
  }

  void checkEndOfRun(int startCount) {
    violation.recordIf(startCount == 0, "nothing_ran", "");
    Map<String, List<JobObservations>> jobsByClass = new HashMap<>();
    for (JobObservations each : jobs.values()) {
      if (each.isAccepted()) {
        violation.recordIf(
            !each.hasEnded(), "unserved", each.job().id() + " unfinished at the end");
        if (!each.isCancelRequested()) {
          jobsByClass.computeIfAbsent(each.job().jobClass(), key -> new ArrayList<>()).add(each);
        }
      }
    }
    jobsByClass.values().forEach(this::checkLargestJobsStarted);
  }

  private void checkLargestJobsStarted(List<JobObservations> jobsOfClass) {
    jobsOfClass.sort(
        Comparator.comparingInt((JobObservations each) -> each.job().taskCount()).reversed());
    int count = Math.min(jobsOfClass.size(), 1 + jobsOfClass.size() / LARGEST_JOBS_DIVISOR);
    List<JobObservations> largest = jobsOfClass.subList(0, count);
    long startedInTimeCount =
        largest.stream().filter(each -> each.startedWithin(LARGEST_JOBS_START_LIMIT)).count();
    violation.recordIf(2 * startedInTimeCount < count, "largest_late", largest.get(0).job().id());
  }

  private boolean isLongerAgo(Duration since, Duration limit) {
    return time.now().minus(since).compareTo(limit) > 0;
  }
}
