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
 * Runs the leader's scheduling rounds. A round collects proofs that attempts have ended, plans,
 * commits its changes, and only then has commands sent to workers, through its {@link Callbacks};
 * stops of preempted tasks need no commit. One round is in progress at a time. An event starts the
 * next round after a delay, which batches further events and grows with the cost of rounds. Without
 * events, rounds start at intervals of {@code maxRoundInterval}.
 *
 * <p>Used on the event loop only.
 */
public final class SchedulingLoop implements Lifecycle {
  private static final Logger LOG = LoggerFactory.getLogger(SchedulingLoop.class);
  private static final Duration BATCHING_DELAY = Duration.ofMillis(40);
  private static final Duration RETRY_DELAY = Duration.ofMillis(120);

  /**
   * Minimum interval between round starts as a multiple of the cost of a round, so that rounds use
   * at most about a quarter of the processor time.
   */
  private static final int MIN_INTERVAL_TO_COST_RATIO = 4;

  private final EventLoop loop;
  private final ClusterRecords records;
  private final RoundCommitter committer;
  private final TermState state;
  private final Duration maxRoundInterval;
  private final Meters meters;
  private final Callbacks callbacks;
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

  /** The phases of a term, in their order, which determine what rounds may do. */
  enum Phase {
    /** No task is placed, since not all running tasks are known yet. */
    REBUILDING,
    /** All tasks to adopt are recorded, and rounds record that the adoption is complete. */
    RECORDING_RECONCILIATION,
    /** Tasks are placed. */
    PLACING
  }

  /** The state of the round that is being committed, if any. */
  private enum CommitState {
    /** The next round may begin. */
    IDLE,
    /** A round is being committed, or its outcome is being read from the records. */
    IN_PROGRESS,
    /** A round is in progress, and another one was requested in the meantime. */
    IN_PROGRESS_ROUND_REQUESTED,
    /** The term has ended. */
    STOPPED
  }

  /** Permits rounds and sends commands to workers; implemented by the owner of the loop. */
  public interface Callbacks {
    /** Whether rounds may plan and record changes now. */
    boolean mayPlace();

    /** Called after a commit or a request to stop attempts, when workers may need new commands. */
    void onCommandsChanged();
  }

  /** Creates a loop in the first phase; {@link #start} starts it. */
  public SchedulingLoop(
      EventLoop loop,
      ClusterRecords records,
      RoundCommitter committer,
      TermState state,
      PlanningInputs inputs,
      Meters meters,
      Callbacks callbacks) {
    this.loop = loop;
    this.records = records;
    this.committer = committer;
    this.state = state;
    this.meters = meters;
    this.callbacks = callbacks;
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
            callbacks);
  }

  @Override
  public void start() {
    maxIntervalTimer = loop.schedule(maxRoundInterval, this::onMaxInterval);
    requestRound();
  }

  @Override
  public void stop() {
    // A pending read of the records may be answered much later, and must not start a round then.
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

  /** Enables the placement of tasks from the next round on, after ownership was rebuilt. */
  public void enablePlacement() {
    phase = Phase.PLACING;
    requestRound();
  }

  /** Starts the phase in which rounds record that the adoption of tasks is complete. */
  public void recordReconciliation() {
    if (phase == Phase.REBUILDING) {
      phase = Phase.RECORDING_RECONCILIATION;
    }
    requestRound();
  }

  /** Requests a round soon, after an event that affects planning. */
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

  /**
   * Whether the next round will examine the machine's attempts even without a further change. This
   * is the case, for example, while a higher fencing token would prove that some of them have
   * ended.
   */
  public boolean isExaminationPending(String machine) {
    return terminations.isExaminationPending(machine);
  }

  /**
   * Returns what rounds may do with the machine now.
   *
   * @param machine the machine's state, null if the machine is not known
   */
  public MachineEligibility eligibility(MachineState machine) {
    return machine == null
        ? MachineEligibility.UNKNOWN
        : new MachineEligibility(
            machineViews.isSchedulable(machine, loop.now()), machine.areCommandsFenced());
  }

  /** Discards cached state of the job, after its records have changed. */
  public void onJobChanged(JobRecord job) {
    jobViews.onJobChanged(job);
    if (job.outcome() != null) {
      state.tasks().backoff().reset(job.job().id());
    }
  }

  /**
   * Discards all cached views and has the next round examine all machines, after all records were
   * reloaded.
   */
  public void onRecordsReloaded() {
    jobViews.invalidateAll();
    machineViews.invalidateAll();
    terminations.onRecordsReloaded();
  }

  /** Returns the last plan, which is empty before the first round. */
  public RoundPlan lastPlan() {
    return planner.lastPlan();
  }

  /**
   * Requests a round if machines are due for examination, or if the last round started too long
   * ago. The passing of time alone proves that tasks of silent machines are lost, without an event
   * that would request a round.
   */
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
    if (!callbacks.mayPlace()) {
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
    int sentCount = committer.commit(changeSets, this::refreshRecords);
    if (sentCount == 0) {
      commitState = CommitState.IDLE;
    }
    if (sentCount < changeSets.size()) {
      LOG.debug(
          "the rate limiter deferred {} of {} change sets to a later round",
          changeSets.size() - sentCount,
          changeSets.size());
      if (changeSets.get(sentCount).writeClass() == RateLimiter.WriteClass.ROUND) {
        Duration pause = Durations.multiply(lastCost, MIN_INTERVAL_TO_COST_RATIO);
        nextRoundTimer = loop.schedule(longer(pause, RETRY_DELAY), this::runRound);
      }
    }
  }

  /**
   * Refreshes the records, which then show what was applied; called when all outcomes are known.
   */
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
              callbacks.onCommandsChanged();
              if (isRequested) {
                requestRound();
              }
            });
  }

  private static Duration longer(Duration one, Duration other) {
    return one.compareTo(other) > 0 ? one : other;
  }
}
