package io.cherryspool.controller.rounds;

import io.cherryspool.controller.fleet.MachineState;
import io.cherryspool.controller.metrics.Meters;
import io.cherryspool.model.Attempt;
import io.cherryspool.model.TaskId;
import io.cherryspool.scheduler.ClusterView;
import io.cherryspool.scheduler.PlacementPlanner;
import io.cherryspool.scheduler.RoundPlan;
import io.cherryspool.store.ClusterRecords;
import io.cherryspool.store.JobRecord;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Plans a round: places tasks, requests the stops of preempted tasks, and collects the changes to
 * commit.
 *
 * <p>Used on the event loop only.
 */
final class RoundPlanner {
  private static final Logger LOG = LoggerFactory.getLogger(RoundPlanner.class);

  /**
   * How long a release waits to be written together with another change of its shard. A release
   * that completes its job does not wait.
   */
  private static final Duration RELEASE_DELAY = Duration.ofSeconds(4);

  /**
   * Age from which the rate limiter admits a release like the starts of tasks. Until the release is
   * written, users see an outdated count of completed tasks.
   */
  private static final Duration MAX_RELEASE_DELAY = Duration.ofSeconds(25);

  private final ClusterRecords records;
  private final TermState state;
  private final ClusterViewBuilder views;
  private final TerminationCollector terminations;
  private final int maxChanges;
  private final Meters meters;
  private final SchedulingLoop.Callbacks callbacks;
  private final RoundDecisionLog decisionLog = new RoundDecisionLog();
  private RoundPlan lastPlan = RoundPlan.EMPTY;

  /**
   * Creates a planner that has not planned a round.
   *
   * @param maxChanges the maximum number of changes in a transaction of the state store
   */
  RoundPlanner(
      ClusterRecords records,
      TermState state,
      ClusterViewBuilder views,
      TerminationCollector terminations,
      int maxChanges,
      Meters meters,
      SchedulingLoop.Callbacks callbacks) {
    this.records = records;
    this.state = state;
    this.views = views;
    this.terminations = terminations;
    this.maxChanges = maxChanges;
    this.meters = meters;
    this.callbacks = callbacks;
  }

  /** Returns the last plan, which is empty before the first round. */
  RoundPlan lastPlan() {
    return lastPlan;
  }

  /**
   * Plans a round and returns its changes, the most urgent first.
   *
   * @param phase the current phase of the term
   * @param roundStart when the round began
   * @param now the current time
   */
  List<ChangeSet> plan(SchedulingLoop.Phase phase, Duration roundStart, Duration now) {
    TaskAdoption adoption = state.tasks().adoption();
    RoundChangeSetBuilder changeSetBuilder =
        new RoundChangeSetBuilder(state.tasks().pendingReleases(), maxChanges);
    List<ChangeSet> changeSets = new ArrayList<>(adoption.collectChanges(changeSetBuilder));
    if (phase == SchedulingLoop.Phase.PLACING && views.isCatalogKnown()) {
      place(changeSetBuilder, now);
    }
    changeSets.addAll(
        changeSetBuilder.changeSets(
            records.activeJobs(),
            roundStart.minus(RELEASE_DELAY),
            roundStart.minus(MAX_RELEASE_DELAY)));
    if (phase != SchedulingLoop.Phase.REBUILDING && adoption.isInProgress()) {
      changeSets.addAll(adoption.completionChanges());
    }
    return changeSets;
  }

  private void place(RoundChangeSetBuilder changeSetBuilder, Duration now) {
    List<ClusterView.JobView> jobs = views.schedulableJobs(now);
    if (jobs.isEmpty()) {
      lastPlan = RoundPlan.EMPTY;
      meters.heldTasks.clear();
      return;
    }
    meters.plannedRounds.increment();
    lastPlan = plan(views.build(jobs, lastPlan, now));
    meters.heldTasks.set(lastPlan.heldTasks());
    meters.preemptions.add(lastPlan.victims().size());
    for (RoundPlan.Assignment item : lastPlan.assignments()) {
      JobRecord job = records.job(item.jobId());
      MachineState machine = state.fleet().get(item.machine());
      changeSetBuilder.assign(
          job,
          item.taskIndex(),
          item.machine(),
          machine.latestHeartbeat().agentEpoch(),
          // The token of this round; the commit advances the token source to it.
          state.tokens().current() + 1);
      machine.recordImage(job.job().image());
      if (item.usesLentQuota()) {
        views.lentQuota().add(new TaskId(item.jobId(), item.taskIndex()));
      }
    }
    if (!lastPlan.victims().isEmpty()) {
      requestStops(lastPlan.victims());
      // Stop commands are sent without waiting for the commit.
      callbacks.onCommandsChanged();
    }
  }

  private RoundPlan plan(ClusterView view) {
    if (!decisionLog.isEnabled()) {
      return PlacementPlanner.plan(view);
    }
    RoundDecisionLog.RoundRecorder recorder = decisionLog.new RoundRecorder();
    RoundPlan plan = PlacementPlanner.plan(view, recorder);
    recorder.write(view, plan.heldTasks());
    return plan;
  }

  private void requestStops(List<RoundPlan.Victim> victims) {
    Map<String, Integer> countByJob = new LinkedHashMap<>();
    for (RoundPlan.Victim victim : victims) {
      TaskId task = victim.task();
      JobRecord job = records.job(task.jobId());
      Attempt attempt =
          job.shard(job.shardIndexOf(task.index())).shard().ownedAttempt(task.index());
      if (attempt != null) {
        countByJob.merge(task.jobId(), 1, Integer::sum);
        state.tasks().stopRequests().add(task, attempt.number(), victim.gracePeriod());
        terminations.onMachineChanged(attempt.machine());
      }
    }
    // One log line for each job, since thousands of small tasks may be preempted in a round.
    countByJob.forEach((job, count) -> LOG.info("preempting tasks: job={}, count={}", job, count));
  }
}
