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
 * The rules that users rely on, checked against what the fake workers run and what users receive.
 * The cluster reports what happens and calls {@link #check} after each event.
 *
 * <p>A violation is named by its rule: {@code ran_twice}, {@code wrong_place}, {@code
 * ran_cancelled}, {@code quota}, {@code invented}, {@code forgotten}, {@code not_done}, {@code
 * went_back}, {@code refused}, and those of {@link ProgressRules}.
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
   * @param cancelLimit the tasks of a cancelled job are gone so long after the confirmation
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

  private Optional<JobObservations> known(String id) {
    return Optional.ofNullable(jobs.get(id));
  }

  /** A user submits the job; called before the request is sent. */
  public void jobSubmitted(Job job) {
    observations(job.id()).submitted(job, time.now());
  }

  /** The job with this id as it was submitted; null if none was. */
  public Job job(String id) {
    return known(id).map(JobObservations::job).orElse(null);
  }

  /** A user receives that the job is accepted; true the first time. */
  public boolean jobAccepted(String id) {
    return observations(id).accepted(time.now());
  }

  public boolean isAccepted(String id) {
    return known(id).filter(JobObservations::isAccepted).isPresent();
  }

  /** A user receives that the job is invalid, which must not follow its acceptance. */
  public void jobRejected(String id) {
    violation.noteIf(isAccepted(id), "forgotten", id);
  }

  /** A user asks for the job to be cancelled; called before the request is sent. */
  public void cancelRequested(String id) {
    observations(id).cancelRequested(time.now());
  }

  public boolean isCancelRequested(String id) {
    return known(id).filter(JobObservations::isCancelRequested).isPresent();
  }

  /** When a user first received that the job is cancelled. */
  public Optional<Duration> cancelConfirmedAt(String id) {
    return known(id).flatMap(JobObservations::cancelConfirmedAt);
  }

  public boolean isCancelConfirmed(String id) {
    return cancelConfirmedAt(id).isPresent();
  }

  /** Whether a user has received that the job is done or cancelled. */
  public boolean hasEnded(String id) {
    return known(id).filter(JobObservations::hasEnded).isPresent();
  }

  /** How many tasks were started, restarts included. */
  public int startCount() {
    return startCount;
  }

  /** How many tasks were started after the cancel was confirmed, by commands under way then. */
  int startCountAfterCancel() {
    return startCountAfterCancel;
  }

  /** How many tasks of the job have completed. */
  public int completedTaskCount(String id) {
    return known(id).map(JobObservations::completedTaskCount).orElse(0);
  }

  /**
   * A task starts to run.
   *
   * @param all the workers of the machines that are up, {@code on} among them
   */
  public void taskStarted(FakeWorker on, String task, Collection<FakeWorker> all) {
    startCount++;
    String id = TaskId.parse(task).jobId();
    JobObservations observations = observations(id);
    observations.taskStarted(time.now());
    startCountAfterCancel += observations.cancelConfirmedAt().isPresent() ? 1 : 0;
    int copies = 0;
    int inZone = 0;
    Set<String> zones = new HashSet<>();
    for (FakeWorker worker : all) {
      for (String other : worker.runningTasks()) {
        copies += other.equals(task) ? 1 : 0;
        if (other.startsWith(id + "/")) {
          zones.add(worker.machine().zone());
          inZone += worker.machine().zone().equals(on.machine().zone()) ? 1 : 0;
        }
      }
    }
    violation.noteIf(copies > 1, "ran_twice", task);
    Job job = observations.job();
    violation.noteIf(
        !isAllowedOn(job, on.machine())
            || (job.requiresSingleZone() && zones.size() > 1)
            || (job.requiresZoneSpread() && inZone > job.maxTasksPerZone()),
        "wrong_place",
        task);
  }

  static boolean isAllowedOn(Job job, FakeCloud.Machine machine) {
    return PlacementConstraints.allows(job, machine.type(), machine.zone(), machine.isSpot());
  }

  /** A task has run to its end without a failure. */
  public void taskCompleted(String task) {
    TaskId id = TaskId.parse(task);
    observations(id.jobId()).taskCompleted(id.index());
  }

  /**
   * Checks the rules on what runs now.
   *
   * @throws AssertionError naming the first violation, of whatever rule, that was noted
   */
  public void check(Collection<FakeWorker> all) {
    Map<String, Resources> use = new HashMap<>();
    for (FakeWorker worker : all) {
      for (String task : worker.runningTasks()) {
        JobObservations observations = jobs.get(TaskId.parse(task).jobId());
        Job job = observations.job();
        use.merge(job.team(), job.perTask(), Resources::plus);
        violation.noteIf(
            observations.isCancelOverdue(time.now(), cancelLimit), "ran_cancelled", task);
      }
    }
    use.forEach(
        (team, sum) -> violation.noteIf(!teams.get(team).isWithinQuota(sum), "quota", team));
    violation.throwIfAny();
  }

  /**
   * A user receives the status of a job.
   *
   * @param status the protocol's word, or 404 for a job that is not known
   * @param askedAt when the user sent the request
   */
  public void statusReceived(String id, String status, Duration askedAt) {
    JobObservations observations = observations(id);
    observations.answered(time.now());
    if (status.equals("404")) {
      violation.noteIf(observations.wasAcceptedBy(askedAt), "forgotten", id);
      return;
    }
    violation.noteIf(!observations.isSubmitted(), "invented", id);
    boolean isDone = status.equals("done");
    boolean isCancelled = status.equals("withdrawn");
    violation.noteIf(
        observations.contradictsEnd(status, isDone || isCancelled, askedAt),
        "went_back",
        id + " to " + status);
    if (isDone) {
      int missing = observations.job().taskCount() - observations.completedTaskCount();
      violation.noteIf(missing > 0, "not_done", id);
      observations.ended(status, time.now());
    } else if (isCancelled) {
      violation.noteIf(!observations.isCancelRequested(), "went_back", id + " cancelled unasked");
      observations.cancelConfirmed(time.now());
      observations.ended(status, time.now());
    }
  }

  /** Notes a violation that a user has seen; {@link #check} throws it. */
  public void recordViolationIf(boolean isViolated, String rule, String details) {
    violation.noteIf(isViolated, rule, details);
  }

  /** No fault is injected after this moment. */
  public void setFaultsEndedAt(Duration moment) {
    progressRules.setFaultsEndedAt(moment);
  }

  /** Checks that work goes on once all faults are over; called once a second. */
  public void checkProgress(Collection<FakeWorker> all) {
    progressRules.checkProgress(all);
  }

  /** Checks at the end of a run that all work has ended, and the largest jobs began in time. */
  public void checkEndOfRun() {
    progressRules.checkAllServed(startCount);
  }
}
