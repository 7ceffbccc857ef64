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
 * The rules that work goes on once all faults are over: {@code forgotten} for a job about which no
 * user is answered, {@code left_waiting} for one that waits although there is room, {@code
 * nothing_ran}, {@code unserved} and {@code largest_late} at the end of a run.
 */
final class ProgressRules {
  /** A job about which no question is answered for so long counts as forgotten. */
  private static final Duration ANSWER_LIMIT = Duration.ofSeconds(75);

  /** So long a job may wait although a machine that fits has room and its team may use it. */
  private static final Duration WAITING_LIMIT = Duration.ofSeconds(90);

  /** Within this time at least half of a class's largest jobs begin. */
  private static final Duration START_LIMIT = Duration.ofMinutes(4);

  /** One in so many jobs of a class counts as one of its largest. */
  private static final int LARGEST_ONE_IN = 10;

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

  /** What the fleet has assigned: by team, free by worker, and the tasks. */
  private static final class Assignments {
    private final Map<String, Resources> useByTeam = new HashMap<>();
    private final Map<FakeWorker, Resources> freeByWorker = new HashMap<>();
    private final Set<String> tasks = new HashSet<>();
  }

  void setFaultsEndedAt(Duration moment) {
    faultsEndedAt = moment;
  }

  void checkProgress(Collection<FakeWorker> all) {
    Assignments assignments = assignments(all);
    for (Map.Entry<String, JobObservations> entry : jobs.entrySet()) {
      if (entry.getValue().isAccepted()) {
        checkAnswered(entry.getKey(), entry.getValue());
        checkWaiting(entry.getKey(), entry.getValue(), assignments);
      }
    }
  }

  private Assignments assignments(Collection<FakeWorker> all) {
    Assignments result = new Assignments();
    for (FakeWorker worker : all) {
      Resources free = worker.machine().type().capacity();
      for (String task : worker.assignedTasks()) {
        Job job = jobs.get(TaskId.parse(task).jobId()).job();
        free = free.minus(job.perTask());
        result.useByTeam.merge(job.team(), job.perTask(), Resources::plus);
        result.tasks.add(task);
      }
      result.freeByWorker.put(worker, free);
    }
    return result;
  }

  private void checkAnswered(String id, JobObservations job) {
    Duration answeredAt = job.lastAnswerAt();
    Duration since = answeredAt.compareTo(faultsEndedAt) > 0 ? answeredAt : faultsEndedAt;
    violation.noteIf(
        !job.hasEnded() && isLongerAgo(since, ANSWER_LIMIT), "forgotten", id + " unanswered");
  }

  private void checkWaiting(String id, JobObservations observations, Assignments assignments) {
    if (mayBePlaced(observations) && couldRun(observations, assignments)) {
      Duration since = waitingSince.computeIfAbsent(id, key -> time.now());
      violation.noteIf(isLongerAgo(since, WAITING_LIMIT), "left_waiting", id);
    } else {
      waitingSince.remove(id);
    }
  }

  /** Of jobs bound to zones, where their other tasks are decides where the next may run. */
  private static boolean mayBePlaced(JobObservations observations) {
    Job job = observations.job();
    return !observations.hasEnded()
        && !observations.isCancelRequested()
        && !job.jobClass().equals(FakeWorker.FAILING_JOB_CLASS)
        && !job.requiresSingleZone()
        && !job.requiresZoneSpread();
  }

  private boolean couldRun(JobObservations observations, Assignments assignments) {
    Job job = observations.job();
    Resources use = assignments.useByTeam.getOrDefault(job.team(), Resources.NONE);
    return hasWaitingTask(observations, assignments.tasks)
        && teams.get(job.team()).isWithinQuota(use.plus(job.perTask()))
        && assignments.freeByWorker.entrySet().stream()
            .anyMatch(
                entry ->
                    job.perTask().fitsIn(entry.getValue())
                        && RuleChecker.isAllowedOn(job, entry.getKey().machine()));
  }

  private static boolean hasWaitingTask(JobObservations observations, Set<String> assigned) {
    Job job = observations.job();
    for (int i = 0; i < job.taskCount(); i++) {
      if (!observations.isCompleted(i) && !assigned.contains(job.id() + "/" + i)) {
        return true;
      }
    }
    return false;
  }

  void checkAllServed(int startCount) {
    violation.noteIf(startCount == 0, "nothing_ran", "");
    Map<String, List<JobObservations>> classes = new HashMap<>();
    for (JobObservations each : jobs.values()) {
      if (each.isAccepted()) {
        violation.noteIf(!each.hasEnded(), "unserved", each.job().id() + " unfinished at the end");
        if (!each.isCancelRequested()) {
          classes.computeIfAbsent(each.job().jobClass(), key -> new ArrayList<>()).add(each);
        }
      }
    }
    classes.values().forEach(this::checkLargestBegan);
  }

  private void checkLargestBegan(List<JobObservations> ofOneClass) {
    ofOneClass.sort(
        Comparator.comparingInt((JobObservations each) -> each.job().taskCount()).reversed());
    int count = Math.min(ofOneClass.size(), 1 + ofOneClass.size() / LARGEST_ONE_IN);
    List<JobObservations> largest = ofOneClass.subList(0, count);
    long inTime = largest.stream().filter(each -> each.startedWithin(START_LIMIT)).count();
    violation.noteIf(2 * inTime < count, "largest_late", largest.get(0).job().id());
  }

  private boolean isLongerAgo(Duration since, Duration limit) {
    return time.now().minus(since).compareTo(limit) > 0;
  }
}
