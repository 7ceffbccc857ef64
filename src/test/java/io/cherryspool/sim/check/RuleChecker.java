package io.cherryspool.sim.check;

import io.cherryspool.model.Job;
import io.cherryspool.model.Resources;
import io.cherryspool.model.TaskId;
import io.cherryspool.model.Team;
import io.cherryspool.scheduler.PlacementConstraints;
import io.cherryspool.sim.fakes.FakeCloud;
import io.cherryspool.sim.fakes.FakeWorker;
import io.cherryspool.sim.time.VirtualTime;
import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Checks the rules that users rely on, against the tasks that the fake workers run and the replies
 * that users receive. The cluster reports submissions, replies and task changes to it, and calls
 * {@link #check} after each event.
 *
 * <p>Each violation is named by its rule. Besides those of {@link ProgressRules}, the rules are:
 *
 * <ul>
 *   <li>{@code ran_twice}: a task runs twice at the same time
 *   <li>{@code wrong_place}: a task started on a machine or in a zone where it must not run
 *   <li>{@code ran_cancelled}: a task still runs after the cancel limit of its job
 *   <li>{@code quota}: the running tasks of a team use more than its quota
 *   <li>{@code invented}: a user received a reply about a job that was never submitted
 *   <li>{@code forgotten}: a job was rejected or not found after its acceptance
 *   <li>{@code not_done}: a user received the status done before all tasks had completed
 *   <li>{@code went_back}: a status contradicts an earlier final status, or is cancelled although
 *       no user requested it
 *   <li>{@code refused}: a valid job was rejected as invalid
 *   <li>{@code accepted_invalid}: an invalid job was accepted
 * </ul>
 */
public final class RuleChecker {
  private final VirtualTime time;
  private final Map<String, Team> teams = new HashMap<>();
  private final Duration cancelLimit;
  private final FirstViolation violation;
  private final ProgressRules progressRules;
  private final Map<String, JobObservations> jobs = new HashMap<>();
  private int startCount;
  private int startCountAfterCancel;

  /**
   * Creates the rule checker.
   *
   * @param cancelLimit the maximum time from the confirmation of a cancel to the end of all tasks
   *     of the job
   */
  public RuleChecker(VirtualTime time, Collection<Team> teams, Duration cancelLimit) {
    this.time = time;
    this.cancelLimit = cancelLimit;
    teams.forEach(team -> this.teams.put(team.name(), team));
    violation = new FirstViolation(time);
    progressRules = new ProgressRules(time, this.teams, jobs, violation);
  }

  private JobObservations observations(String id) {
    return jobs.computeIfAbsent(id, key -> new JobObservations());
  }

  private Optional<JobObservations> findObservations(String id) {
    return Optional.ofNullable(jobs.get(id));
  }

  /** Records that a user submits the job. Must be called before the request is sent. */
  public void recordSubmission(Job job) {
    observations(job.id()).recordSubmission(job, time.now());
  }

  /** Returns the job with this id as it was submitted; null if no such job was submitted. */
  public Job job(String id) {
    return findObservations(id).map(JobObservations::job).orElse(null);
  }

  /**
   * Records that a user received the acceptance of the job. Returns whether this was the first
   * time.
   */
  public boolean recordAcceptance(String id) {
    return observations(id).recordAcceptance(time.now());
  }

  public boolean isAccepted(String id) {
    return findObservations(id).filter(JobObservations::isAccepted).isPresent();
  }

  /**
   * Records that a user received a rejection of the job as invalid. A rejection after the
   * acceptance is a violation.
   */
  public void recordRejection(String id) {
    violation.recordIf(isAccepted(id), "forgotten", id);
  }

  /** Records that a user requests to cancel the job. Must be called before the request is sent. */
  public void recordCancelRequest(String id) {
    observations(id).recordCancelRequest(time.now());
  }

  public boolean isCancelRequested(String id) {
    return findObservations(id).filter(JobObservations::isCancelRequested).isPresent();
  }

  /** Returns the time at which a user first received a reply with the status cancelled. */
  public Optional<Duration> cancelConfirmedAt(String id) {
    return findObservations(id).flatMap(JobObservations::cancelConfirmedAt);
  }

  public boolean isCancelConfirmed(String id) {
    return cancelConfirmedAt(id).isPresent();
  }

  /** Whether a user has received a reply with the status done or cancelled. */
  public boolean hasEnded(String id) {
    return findObservations(id).filter(JobObservations::hasEnded).isPresent();
  }

  /** Returns the number of task starts, including restarts. */
  public int startCount() {
    return startCount;
  }

  /**
   * Returns the number of task starts after the cancel of their job was confirmed. They are caused
   * by commands that were in transit when the cancel was confirmed.
   */
  int startCountAfterCancel() {
    return startCountAfterCancel;
  }

  /** Returns the number of completed tasks of the job. */
  public int completedTaskCount(String id) {
    return findObservations(id).map(JobObservations::completedTaskCount).orElse(0);
  }

  /**
   * Records that a task started, and checks that no other copy of it runs and that its machine is
   * allowed.
   *
   * @param workers the workers of all machines that are up, including {@code startedOn}
   */
  public void recordTaskStart(FakeWorker startedOn, String task, Collection<FakeWorker> workers) {
    startCount++;
    String id = TaskId.parse(task).jobId();
    JobObservations observations = observations(id);
    observations.recordTaskStart(time.now());
    startCountAfterCancel += observations.cancelConfirmedAt().isPresent() ? 1 : 0;
    int runningCopies = 0;
    int tasksInZone = 0;
    Set<String> zones = new HashSet<>();
    for (FakeWorker worker : workers) {
      for (String other : worker.runningTasks()) {
        runningCopies += other.equals(task) ? 1 : 0;
        if (other.startsWith(id + "/")) {
          zones.add(worker.machine().zone());
          tasksInZone += worker.machine().zone().equals(startedOn.machine().zone()) ? 1 : 0;
        }
      }
    }
    violation.recordIf(runningCopies > 1, "ran_twice", task);
    Job job = observations.job();
    violation.recordIf(
        !isAllowedOn(job, startedOn.machine())
            || (job.requiresSingleZone() && zones.size() > 1)
            || (job.requiresZoneSpread() && tasksInZone > job.maxTasksPerZone()),
        "wrong_place",
        task);
  }

  static boolean isAllowedOn(Job job, FakeCloud.Machine machine) {
    return PlacementConstraints.allows(job, machine.type(), machine.zone(), machine.isSpot());
  }

  /** Records that a task ran to its end without a failure. */
  public void recordTaskCompletion(String task) {
    TaskId id = TaskId.parse(task);
    observations(id.jobId()).recordTaskCompletion(id.index());
  }

  /**
   * Checks the tasks that run now: none may belong to a job whose cancel was confirmed longer ago
   * than the limit, and the tasks of each team must be within its quota.
   *
   * @throws AssertionError if a violation of any rule has been recorded; names the first one
   */
  public void check(Collection<FakeWorker> workers) {
    Map<String, Resources> usageByTeam = new HashMap<>();
    for (FakeWorker worker : workers) {
      for (String task : worker.runningTasks()) {
        JobObservations observations = jobs.get(TaskId.parse(task).jobId());
        Job job = observations.job();
        usageByTeam.merge(job.team(), job.perTask(), Resources::plus);
        violation.recordIf(
            observations.isCancelOverdue(time.now(), cancelLimit), "ran_cancelled", task);
      }
    }
    usageByTeam.forEach(
        (team, sum) -> violation.recordIf(!teams.get(team).isWithinQuota(sum), "quota", team));
    violation.throwIfAny();
  }

  /**
   * Records that a user received the status of a job, and checks it against earlier replies.
   *
   * @param status the status as written in the protocol, or 404 if the job was not found
   * @param askedAt the time at which the user sent the request
   */
  public void recordStatus(String id, String status, Duration askedAt) {
    JobObservations observations = observations(id);
    observations.recordAnswer(time.now());
    if (status.equals("404")) {
      violation.recordIf(observations.wasAcceptedBy(askedAt), "forgotten", id);
      return;
    }
    violation.recordIf(!observations.isSubmitted(), "invented", id);
    boolean isDone = status.equals("done");
    boolean isCancelled = status.equals("withdrawn");
    violation.recordIf(
        observations.contradictsEnd(status, isDone || isCancelled, askedAt),
        "went_back",
        id + " to " + status);
    if (isDone) {
      int missing = observations.job().taskCount() - observations.completedTaskCount();
      violation.recordIf(missing > 0, "not_done", id);
      observations.recordEnd(status, time.now());
    } else if (isCancelled) {
      violation.recordIf(
          !observations.isCancelRequested(), "went_back", id + " cancelled without a request");
      observations.recordCancelConfirmation(time.now());
      observations.recordEnd(status, time.now());
    }
  }

  /**
   * Records a violation found by the simulated users, if the condition is true. {@link #check}
   * throws it.
   */
  public void recordViolationIf(boolean isViolated, String rule, String details) {
    violation.recordIf(isViolated, rule, details);
  }

  /** Sets the time at which the last fault ended. Must be called before {@link #checkProgress}. */
  public void setFaultsEndedAt(Duration moment) {
    progressRules.setFaultsEndedAt(moment);
  }

  /**
   * Checks that no job is forgotten or left waiting after all faults have ended. Must be called
   * once a second of simulated time.
   */
  public void checkProgress(Collection<FakeWorker> workers) {
    progressRules.checkProgress(workers);
  }

  /**
   * Checks at the end of a run that tasks were started, that all accepted jobs have ended, and that
   * the largest jobs started in time.
   */
  public void checkEndOfRun() {
    progressRules.checkEndOfRun(startCount);
  }
}
