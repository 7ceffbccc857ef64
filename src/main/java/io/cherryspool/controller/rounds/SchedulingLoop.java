package io.cherryspool.controller.rounds;

import io.cherryspool.controller.fleet.MachineEligibility;
import io.cherryspool.controller.fleet.MachineState;
import io.cherryspool.controller.metrics.Meters;
import io.cherryspool.lifecycle.EventLoop;
import io.cherryspool.lifecycle.Lifecycle;
import io.cherryspool.model.Durations;
import io.cherryspool.scheduler.RoundPlan;
import io.cherryspool.store.ClusterRecords;
import io.cherryspool.store.JobRecord;
import io.cherryspool.store.RateLimiter;
import java.time.Duration;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The leader's rounds: collects the proofs that attempts have ended, plans, commits, and only then
 * has commands sent to the workers. One round is under way at a time; an event starts the next
 * after a short delay that gathers others, longer where rounds cost more, and at least one is run
 * in each longest interval.
 *
 * <p>Used on the event loop only.
 */
public final class SchedulingLoop implements Lifecycle {
  private static final Logger LOG = LoggerFactory.getLogger(SchedulingLoop.class);
  private static final Duration BATCHING_DELAY = Duration.ofMillis(40);
  private static final Duration RETRY_DELAY = Duration.ofMillis(120);

  /** Rounds take at most about one part in so many of the processor. */
  private static final int MIN_INTERVAL_TO_COST_RATIO = 4;

  private final EventLoop loop;
  private final ClusterRecords records;
  private final RoundCommitter committer;
  private final TermState state;
  private final Duration maxRoundInterval;
  private final Meters meters;
  private final Host host;
  private final JobViewCache jobViews;
  private final MachineViewCache machineViews;
  private final TerminationCollector terminations;
  private final RoundPlanner planner;
  private Phase phase = Phase.REBUILDING;
  private CommitState commitState = CommitState.IDLE;
  private Duration lastStart = Duration.ZERO;
  private Duration lastCost = Duration.ZERO;
  private EventLoop.Timer nextRoundTimer;
  private EventLoop.Timer maxIntervalTimer;

  /** What rounds may do by now. A term goes through the phases in this order. */
  enum Phase {
    /** Nothing is placed, since what runs is not all known yet. */
    REBUILDING,
    /** What ran when the state was lost is all recorded, and the records are to say so. */
    RECORDING_RECONCILIATION,
    /** Tasks are placed. */
    PLACING
  }

  /** Whether a round's outcome is open. */
  private enum CommitState {
    /** The next round may begin. */
    IDLE,
    /** A round is being committed, or its outcome read. */
    IN_PROGRESS,
    /** As before, and another round was requested meanwhile. */
    IN_PROGRESS_ROUND_REQUESTED,
    /** The term has ended. */
    STOPPED
  }

  /** Whom the rounds are run for. */
  public interface Host {
    /** Whether anything may be planned and recorded now. */
    boolean mayPlace();

    /** Called when workers may have to be sent commands: after a commit, or to stop attempts. */
    void onCommandsChanged();
  }

  /** Creates a loop that has not started, in the first phase. */
  public SchedulingLoop(
      EventLoop loop,
      ClusterRecords records,
      RoundCommitter committer,
      TermState state,
      PlanningInputs inputs,
      Meters meters,
      Host host) {
    this.loop = loop;
    this.records = records;
    this.committer = committer;
    this.state = state;
    this.meters = meters;
    this.host = host;
    RoundLimits limits = inputs.limits();
    TaskTracking tasks = state.tasks();
    maxRoundInterval = limits.maxRoundInterval();
    jobViews = new JobViewCache(records, state.fleet(), tasks, limits.failureCap());
    machineViews =
        new MachineViewCache(
            state.tokens(), state.fleet(), tasks, limits.maxSilence(), limits.halfLease());
    terminations = new TerminationCollector(state, jobViews, meters, limits.maxSilence());
    planner =
        new RoundPlanner(
            records,
            state,
            new ClusterViewBuilder(
                records, tasks.pendingReleases(), jobViews, machineViews, inputs),
            terminations,
            limits.maxChanges(),
            meters,
            host);
  }

  @Override
  public void start() {
    maxIntervalTimer = loop.schedule(maxRoundInterval, this::onMaxInterval);
    requestRound();
  }

  @Override
  public void stop() {
    // A read under way may be answered long after, and must not begin a round of a past term.
    commitState = CommitState.STOPPED;
    committer.stop();
    meters.heldTasks.clear();
    if (nextRoundTimer != null) {
      nextRoundTimer.cancel();
    }
    if (maxIntervalTimer != null) {
      maxIntervalTimer.cancel();
    }
  }

  /** Has tasks placed from the next round on, since ownership is rebuilt. */
  public void enablePlacement() {
    phase = Phase.PLACING;
    requestRound();
  }

  /** Has the next round record that all is recorded which ran when the state was lost. */
  public void recordReconciliation() {
    if (phase == Phase.REBUILDING) {
      phase = Phase.RECORDING_RECONCILIATION;
    }
    requestRound();
  }

  /** Has a round run soon, since something has happened that it should consider. */
  public void requestRound() {
    if (commitState == CommitState.IN_PROGRESS) {
      commitState = CommitState.IN_PROGRESS_ROUND_REQUESTED;
    } else if (commitState == CommitState.IDLE && nextRoundTimer == null) {
      Duration pause =
          lastStart
              .plus(Durations.multiply(lastCost, MIN_INTERVAL_TO_COST_RATIO))
              .minus(loop.now());
      nextRoundTimer = loop.schedule(longer(pause, BATCHING_DELAY), this::runRound);
    }
  }

  /** Has the next round examine the machine, whose messages or owned tasks have changed. */
  public void onMachineChanged(String name) {
    terminations.onMachineChanged(name);
  }

  /** Whether the next round examines the machine's tasks anyway, as it does until all is proved. */
  public boolean isExaminationPending(String machine) {
    return terminations.isExaminationPending(machine);
  }

  /** What rounds may do with the machine now; null is a machine that is not known. */
  public MachineEligibility eligibility(MachineState machine) {
    return machine == null
        ? MachineEligibility.UNKNOWN
        : new MachineEligibility(
            machineViews.isSchedulable(machine, loop.now()), machine.areCommandsFenced());
  }

  /** Has the next round see the job as its records are now. */
  public void onJobChanged(JobRecord job) {
    jobViews.onJobChanged(job);
    if (job.outcome() != null) {
      state.tasks().backoff().reset(job.job().id());
    }
  }

  /** Has the next round examine everything, since the records were all read again. */
  public void onRecordsReloaded() {
    jobViews.invalidateAll();
    machineViews.invalidateAll();
    terminations.onRecordsReloaded();
  }

  /** The last plan, empty before the first. */
  public RoundPlan lastPlan() {
    return planner.lastPlan();
  }

  /** Time alone proves tasks of silent machines lost, so that no event would start this round. */
  private void onMaxInterval() {
    maxIntervalTimer = loop.schedule(maxRoundInterval, this::onMaxInterval);
    Duration now = loop.now();
    boolean isAnyDue = terminations.addSilentMachines(now);
    if (isAnyDue || now.minus(lastStart).compareTo(maxRoundInterval) >= 0) {
      requestRound();
    }
  }

  private void runRound() {
    nextRoundTimer = null;
    if (commitState != CommitState.IDLE) {
      requestRound();
      return;
    }
    lastStart = loop.now();
    terminations.collect(loop.now());
    if (!host.mayPlace()) {
      return;
    }
    List<ChangeSet> changeSets = planner.plan(phase, lastStart, loop.now());
    lastCost = loop.now().minus(lastStart);
    if (!changeSets.isEmpty() && commitState == CommitState.IDLE) {
      commit(changeSets);
    }
  }

  private void commit(List<ChangeSet> changeSets) {
    commitState = CommitState.IN_PROGRESS;
    meters.committedRounds.increment();
    state.tokens().advance();
    int sent = committer.commit(changeSets, this::refreshRecords);
    if (sent == 0) {
      commitState = CommitState.IDLE;
    }
    if (sent < changeSets.size()) {
      LOG.debug(
          "the rate limiter leaves {} of {} changes for later",
          changeSets.size() - sent,
          changeSets.size());
      if (changeSets.get(sent).writeClass() == RateLimiter.WriteClass.ROUND) {
        Duration pause = Durations.multiply(lastCost, MIN_INTERVAL_TO_COST_RATIO);
        nextRoundTimer = loop.schedule(longer(pause, RETRY_DELAY), this::runRound);
      }
    }
  }

  /** All outcomes are certain; the records say what they are. */
  private void refreshRecords() {
    records
        .refresh()
        .whenComplete(
            (nothing, failure) -> {
              if (commitState == CommitState.STOPPED) {
                return;
              }
              if (failure != null) {
                loop.schedule(RETRY_DELAY, this::refreshRecords);
                return;
              }
              boolean isRequested = commitState == CommitState.IN_PROGRESS_ROUND_REQUESTED;
              commitState = CommitState.IDLE;
              host.onCommandsChanged();
              if (isRequested) {
                requestRound();
              }
            });
  }

  private static Duration longer(Duration one, Duration other) {
    return one.compareTo(other) > 0 ? one : other;
  }
}
