package io.cherryspool.controller.rounds;

import io.cherryspool.controller.fleet.Fleet;
import io.cherryspool.controller.fleet.MachineEligibility;
import io.cherryspool.controller.fleet.MachineState;
import io.cherryspool.controller.metrics.Meters;
import io.cherryspool.controller.ownership.FencingTokenSource;
import io.cherryspool.controller.ownership.Ownership;
import io.cherryspool.controller.release.PendingReleases;
import io.cherryspool.controller.release.TerminationEvidence;
import io.cherryspool.lifecycle.EventLoop;
import io.cherryspool.lifecycle.Lifecycle;
import io.cherryspool.model.Attempt;
import io.cherryspool.model.Durations;
import io.cherryspool.model.MachineType;
import io.cherryspool.model.Team;
import io.cherryspool.scheduler.ClusterView;
import io.cherryspool.scheduler.Placement;
import io.cherryspool.scheduler.RoundPlan;
import io.cherryspool.store.ClusterRecords;
import io.cherryspool.store.JobRecord;
import io.cherryspool.store.RateLimiter;
import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The leader's rounds: takes in what is proved, plans, commits, and only then lets the workers hear
 * of it. One round is under way at a time; an event starts the next after a short gathering, longer
 * where rounds cost more, and the round length is the longest that one waits.
 */
public final class SchedulingLoop implements Lifecycle {
  private static final Logger LOG = LoggerFactory.getLogger(SchedulingLoop.class);
  private static final Duration BATCHING_DELAY = Duration.ofMillis(40);
  private static final Duration RETRY_PAUSE = Duration.ofMillis(120);

  /** Rounds take at most about one part in so many of the processor. */
  private static final int COST_SHARE = 4;

  /** How long a release that nothing waits for may wait for other changes of its shard. */
  private static final Duration RELEASE_DELAY = Duration.ofSeconds(4);

  /** And how long at most, however many writes there are; after so long users see the count old. */
  private static final Duration MAX_RELEASE_DELAY = Duration.ofSeconds(25);

  private final EventLoop loop;
  private final ClusterRecords replica;
  private final RoundCommitter writer;
  private final Fleet fleet;
  private final TerminationEvidence evidence;
  private final TaskTracking ledger;
  private final FencingTokenSource tokens;
  private final ClusterViewBuilder view;
  private final Map<String, Team> teams;
  private final Supplier<List<MachineType>> catalog;
  private final RoundLimits limits;
  private final InstantSource clock;
  private final DemandEstimator workload;
  private final Meters meters;
  private final BooleanSupplier places;
  private final Runnable committed;
  private final Set<String> dirty = new LinkedHashSet<>();
  private RoundPlan last = RoundPlan.EMPTY;
  private boolean placing;
  private boolean settling;
  private boolean underWay;
  private boolean wanted;
  private boolean stopped;
  private Duration lastRun = Duration.ZERO;
  private Duration lastCost = Duration.ZERO;
  private EventLoop.Timer timer;
  private EventLoop.Timer longest;

  /**
   * @param places whether anything may be planned and recorded now
   */
  public SchedulingLoop(
      EventLoop loop,
      ClusterRecords replica,
      RoundCommitter writer,
      Fleet fleet,
      TerminationEvidence evidence,
      TaskTracking ledger,
      FencingTokenSource tokens,
      Map<String, Team> teams,
      Supplier<List<MachineType>> catalog,
      RoundLimits limits,
      InstantSource clock,
      DemandEstimator workload,
      Meters meters,
      BooleanSupplier places,
      Runnable committed) {
    this.loop = loop;
    this.replica = replica;
    this.writer = writer;
    this.fleet = fleet;
    this.evidence = evidence;
    this.ledger = ledger;
    this.tokens = tokens;
    this.teams = teams;
    this.catalog = catalog;
    this.limits = limits;
    this.clock = clock;
    this.workload = workload;
    this.meters = meters;
    this.places = places;
    this.committed = committed;
    this.view =
        new ClusterViewBuilder(
            replica,
            fleet,
            ledger,
            tokens,
            limits.maxSilence(),
            limits.halfLease(),
            limits.failureCap());
  }

  @Override
  public void start() {
    longest = loop.schedule(limits.maxRoundInterval(), this::atLongest);
    requestRound();
  }

  @Override
  public void stop() {
    // A reading under way may come back long after, and must not begin a round of a past term.
    stopped = true;
    writer.stop();
    if (timer != null) {
      timer.cancel();
    }
    if (longest != null) {
      longest.cancel();
    }
  }

  /** Placing starts when ownership is rebuilt. */
  public void allowPlacing() {
    placing = true;
    requestRound();
  }

  /** What ran when the state was lost is recorded; the next round says so. */
  public void recordReconciled() {
    settling = true;
    requestRound();
  }

  /** Something happened that a round should take in. */
  public void requestRound() {
    wanted = true;
    if (timer == null && !underWay && !stopped) {
      Duration pause = lastRun.plus(Durations.multiply(lastCost, COST_SHARE)).minus(loop.now());
      timer =
          loop.schedule(pause.compareTo(BATCHING_DELAY) > 0 ? pause : BATCHING_DELAY, this::run);
    }
  }

  /** The machine's messages, or what it owns, may prove something new. */
  public void machineChanged(String name) {
    dirty.add(name);
    MachineState machine = fleet.get(name);
    if (machine != null) {
      machine.invalidateView();
    }
  }

  /**
   * Whether the next round looks at the machine's tasks anyway, as it does until they are proved.
   */
  public boolean willExamine(String name) {
    return dirty.contains(name);
  }

  /** What rounds may do with the machine now; null is a machine that is not known. */
  public MachineEligibility eligibility(MachineState machine) {
    return machine == null
        ? MachineEligibility.UNKNOWN
        : new MachineEligibility(
            view.isSchedulable(machine, loop.now()), machine.areCommandsFenced());
  }

  public void jobChanged(JobRecord entry) {
    view.jobChanged(entry);
    if (entry.outcome() != null) {
      ledger.backoff().reset(entry.job().id());
    }
  }

  /** The records were read anew. */
  public void recordsReloaded() {
    ledger.pendingReleases().clear();
    view.invalidateAll();
    dirty.addAll(ledger.ownership().owningMachines());
  }

  /** The last round that was planned. */
  public RoundPlan lastPlan() {
    return last;
  }

  /**
   * Time alone proves a silent machine's tasks lapsed, so the silent ones are looked at as well.
   */
  private void atLongest() {
    longest = loop.schedule(limits.maxRoundInterval(), this::atLongest);
    Duration now = loop.now();
    for (String name : ledger.ownership().owningMachines()) {
      MachineState machine = fleet.get(name);
      if (machine == null
          || machine.isDeleted()
          || machine.contact().isSilent(now, limits.maxSilence())) {
        dirty.add(name);
      }
    }
    if (!dirty.isEmpty() || now.minus(lastRun).compareTo(limits.maxRoundInterval()) >= 0) {
      requestRound();
    }
  }

  private void run() {
    timer = null;
    if (underWay) {
      wanted = true;
      return;
    }
    wanted = false;
    lastRun = loop.now();
    takeIn();
    if (!places.getAsBoolean()) {
      return;
    }
    RoundTransaction edits = new RoundTransaction(ledger.pendingReleases(), limits.maxChanges());
    List<RoundCommitter.ChangeSet> units = new ArrayList<>(ledger.adoption().collectChanges(edits));
    if (placing && catalog.get() != null) {
      place(edits);
    }
    units.addAll(
        edits.changeSets(
            replica.activeJobs(), lastRun.minus(RELEASE_DELAY), lastRun.minus(MAX_RELEASE_DELAY)));
    if (settling && ledger.adoption().isOpen()) {
      units.addAll(ledger.adoption().reconciledChanges());
    }
    lastCost = loop.now().minus(lastRun);
    if (units.isEmpty()) {
      return;
    }
    underWay = true;
    meters.committedRounds.increment();
    tokens.advance();
    int sent = writer.commit(units, this::settled);
    if (sent == 0) {
      underWay = false;
    }
    if (sent < units.size()) {
      LOG.debug(
          "the write rateLimiter leaves {} of {} changes for later",
          units.size() - sent,
          units.size());
      if (units.get(sent).use() == RateLimiter.WriteClass.ROUND) {
        Duration pause = Durations.multiply(lastCost, COST_SHARE);
        timer = loop.schedule(pause.compareTo(RETRY_PAUSE) > 0 ? pause : RETRY_PAUSE, this::run);
      }
    }
  }

  /** All outcomes are certain; the replica tells what they are. */
  private void settled() {
    replica
        .refresh()
        .whenComplete(
            (nothing, failure) -> {
              if (stopped) {
                return;
              }
              if (failure != null) {
                loop.schedule(RETRY_PAUSE, this::settled);
                return;
              }
              underWay = false;
              committed.run();
              if (wanted) {
                requestRound();
              }
            });
  }

  private void takeIn() {
    Duration now = loop.now();
    boolean fence = false;
    int lapsed = 0;
    Set<String> lapsedOn = new LinkedHashSet<>();
    List<String> machines = List.copyOf(dirty);
    dirty.clear();
    for (String name : machines) {
      MachineState machine = fleet.get(name);
      if (machine == null && fleet.isDeleted(name)) {
        machine = new MachineState(name, "", "", false, now);
        machine.markDeleted();
      }
      for (Ownership.OwnedTask owned : ledger.ownership().attemptsOn(name)) {
        if (ledger.pendingReleases().contains(owned)) {
          continue;
        }
        TerminationEvidence.Verdict verdict = evidence.assess(owned, machine, now);
        if (verdict == TerminationEvidence.Verdict.NEEDS_FENCING) {
          fence = true;
          dirty.add(name);
        } else if (verdict != TerminationEvidence.Verdict.OWNED) {
          take(owned, machine, verdict, now);
          if (verdict == TerminationEvidence.Verdict.LOST) {
            lapsed++;
            lapsedOn.add(name);
          }
        }
      }
    }
    if (lapsed > 0) {
      // One line for all: thousands may lapse in a round, when the processor is short anyway.
      LOG.info("{} tasks lapsed with machines {}", lapsed, lapsedOn);
    }
    if (fence) {
      tokens.advance();
    }
  }

  private void take(
      Ownership.OwnedTask owned,
      MachineState machine,
      TerminationEvidence.Verdict verdict,
      Duration now) {
    JobRecord entry = owned.entry();
    Attempt attempt = owned.attempt();
    ledger.pendingReleases().add(new PendingReleases.Release(owned, verdict, now));
    boolean done = verdict == TerminationEvidence.Verdict.DONE;
    view.attemptEnded(owned.id(), done, now);
    if (machine != null) {
      machine.invalidateView();
    }
    if (done) {
      ledger.backoff().reset(entry.job().id());
      if (machine != null) {
        machine.history().recordSuccess();
        Optional<Duration> since = machine.history().runningSince(owned.id());
        if (since.isPresent()) {
          workload.recordRunTime(entry.job(), now.minus(since.get()));
        }
      }
      return;
    }
    if (verdict == TerminationEvidence.Verdict.LOST) {
      meters.lostTasks.increment();
    } else if (verdict == TerminationEvidence.Verdict.FAILED) {
      meters.taskFailures.increment();
    }
    if (verdict == TerminationEvidence.Verdict.FAILED
        || verdict == TerminationEvidence.Verdict.REFUSED) {
      LOG.info(
          "task {} try {} on {}: {}", owned.id(), attempt.number(), attempt.machine(), verdict);
    }
    if (machine != null
        && (verdict == TerminationEvidence.Verdict.FAILED
            || verdict == TerminationEvidence.Verdict.REFUSED)) {
      machine.history().recordJobFailure(entry.job().id(), now);
    }
    if (machine != null
        && verdict == TerminationEvidence.Verdict.FAILED
        && ledger.backoff().recordFailure(entry, view.hasSucceeded(entry), machine, now)) {
      machine.history().recordMachineFailure();
    }
  }

  private void place(RoundTransaction edits) {
    Duration now = loop.now();
    List<ClusterView.JobView> jobs = view.schedulableJobs(now);
    if (jobs.isEmpty()) {
      last = RoundPlan.EMPTY;
      return;
    }
    meters.plannedRounds.increment();
    RoundPlan plan =
        Placement.plan(
            new ClusterView(
                clock.instant(),
                now,
                limits.maxStartDelay(),
                jobs,
                view.schedulableMachines(catalog.get(), now),
                teams,
                view.usageByTeam(),
                view.teamsWithinGuarantee(teams),
                catalog.get(),
                last.unschedulable().stream().map(RoundPlan.TaskGroup::job).toList(),
                limits.deadlineMultiples()));
    last = plan;
    meters.preemptions.add(plan.victims().size());
    for (RoundPlan.Assignment item : plan.assignments()) {
      JobRecord entry = replica.job(item.jobId());
      MachineState machine = fleet.get(item.machine());
      edits.assign(
          entry,
          item.taskIndex(),
          item.machine(),
          machine.latestHeartbeat().agentEpoch(),
          tokens.current() + 1);
      machine.recordImage(entry.job().image());
    }
    Map<String, Integer> stopped = new LinkedHashMap<>();
    for (RoundPlan.Victim stop : plan.victims()) {
      JobRecord entry = replica.job(stop.task().jobId());
      int number = stop.task().index();
      Attempt attempt = entry.shard(entry.shardIndexOf(number)).shard().ownedAttempt(number);
      if (attempt != null) {
        stopped.merge(stop.task().jobId(), 1, Integer::sum);
        ledger.stopRequests().add(stop.task(), attempt.number(), stop.gracePeriod());
        machineChanged(attempt.machine());
      }
    }
    // A line for each job: thousands of small tasks may make way in a round.
    stopped.forEach((job, count) -> LOG.info("stopping {} tasks of {} for other work", count, job));
    if (!plan.victims().isEmpty()) {
      committed.run();
    }
  }
}
