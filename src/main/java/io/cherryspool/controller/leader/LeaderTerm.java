package io.cherryspool.controller.leader;

import io.cherryspool.cloud.CloudClient;
import io.cherryspool.controller.fleet.Fleet;
import io.cherryspool.controller.fleet.MachineEligibility;
import io.cherryspool.controller.fleet.MachineState;
import io.cherryspool.controller.metrics.Meters;
import io.cherryspool.controller.ownership.FencingTokenSource;
import io.cherryspool.controller.ownership.Ownership;
import io.cherryspool.controller.ownership.StopRequests;
import io.cherryspool.controller.provisioning.Provisioner;
import io.cherryspool.controller.release.CrashLoopBackoff;
import io.cherryspool.controller.release.PendingReleases;
import io.cherryspool.controller.release.TerminationEvidence;
import io.cherryspool.controller.rounds.Adoption;
import io.cherryspool.controller.rounds.DemandEstimator;
import io.cherryspool.controller.rounds.RoundCommitter;
import io.cherryspool.controller.rounds.SchedulingLoop;
import io.cherryspool.controller.timing.EventLoopLag;
import io.cherryspool.controller.timing.Timings;
import io.cherryspool.lifecycle.EventLoop;
import io.cherryspool.lifecycle.Lifecycle;
import io.cherryspool.model.Durations;
import io.cherryspool.model.FencingToken;
import io.cherryspool.model.MachineType;
import io.cherryspool.model.Team;
import io.cherryspool.model.WorkerCommand;
import io.cherryspool.model.WorkerHeartbeat;
import io.cherryspool.reachability.FleetReachability;
import io.cherryspool.reachability.MachineEvictionRule;
import io.cherryspool.recovery.Reconciliation;
import io.cherryspool.store.ClusterRecords;
import io.cherryspool.store.JobRecord;
import io.cherryspool.wire.WorkerProtocol;
import io.cherryspool.worker.WorkerClient;
import java.time.Duration;
import java.time.InstantSource;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One term of this node as leader: rebuilds ownership, then runs rounds, until it is stopped. All
 * its memory goes with it; the next leader starts from the records and the workers' reports.
 */
public final class LeaderTerm implements Lifecycle {
  private static final Logger LOG = LoggerFactory.getLogger(LeaderTerm.class);

  /** Calls that ask machines for their state at a time; each holds a socket. */
  private static final int MAX_INSPECTING = 32;

  /** As many while the loop is behind: the machines' own reports bring the same, and go first. */
  private static final int FEW_INSPECTING = 1;

  /** Orders given in an answer show in the worker's next report, which a change brings soon. */
  private static final Duration TOLD = Duration.ofMillis(1200);

  /** A live worker answers a call within milliseconds; a lost packet costs some hundred. */
  private static final Duration SILENCE = Duration.ofMillis(1200);

  private final EventLoop loop;
  private final ClusterRecords replica;
  private final WorkerClient workers;
  private final Timings timings;
  private final FencingTokenSource tokens;
  private final long term;
  private final Fleet fleet = new Fleet();
  private final Ownership ownership;
  private final PendingReleases pendingReleases = new PendingReleases();
  private final StopRequests stopRequests = new StopRequests();
  private final CrashLoopBackoff backoff = new CrashLoopBackoff();
  private final Adoption adoption;
  private final WorkerCommandPlanner workerCommands;
  private final CommandSender commandSender;
  private final DemandEstimator workload;
  private final SchedulingLoop rounds;
  private final Provisioner provisioner;
  private final LongConsumer higherTerm;
  private final Authority authority;
  private final Optional<Consumer<String>> startMissing;
  private final Duration started;
  private final Duration listLag;
  private final Set<String> toInspect = new LinkedHashSet<>();
  private final Set<String> inspected = new HashSet<>();
  private final Set<String> ordered = new LinkedHashSet<>();
  private final EventLoopLag backlog = new EventLoopLag();
  private int inspecting;
  private Duration listed;
  private boolean placing;
  private boolean stopped;
  private EventLoop.Timer timer;

  public LeaderTerm(
      EventLoop loop,
      ClusterRecords replica,
      WorkerClient workers,
      CloudClient cloud,
      RoundCommitter writer,
      SchedulingLoop.Limits limits,
      ProvisioningLimits provisioningLimits,
      TermDependencies cluster,
      Timings timings,
      long term,
      LongConsumer higherTerm) {
    this.loop = loop;
    this.replica = replica;
    this.workers = workers;
    this.timings = timings;
    this.term = term;
    this.higherTerm = higherTerm;
    this.authority = cluster.authority();
    this.startMissing = cluster.unrecordedStart();
    this.started = loop.now();
    this.listLag = provisioningLimits.listLag();
    this.tokens = new FencingTokenSource(term);
    this.ownership = new Ownership(replica);
    this.adoption =
        replica.isPartialRebuild()
            ? new Adoption(replica, fleet, tokens, cluster.heldClasses())
            : Adoption.NONE;
    this.workerCommands = new WorkerCommandPlanner(stopRequests, tokens, pendingReleases, adoption);
    this.commandSender =
        new CommandSender(loop, workers, tokens, timings.workerTimeout(), this::commandAnswered);
    this.workload = new DemandEstimator(replica, pendingReleases, backoff, cluster.clock());
    TerminationEvidence evidence = new TerminationEvidence(timings, tokens, stopRequests, started);
    this.rounds =
        new SchedulingLoop(
            loop,
            replica,
            writer,
            fleet,
            evidence,
            new SchedulingLoop.TaskTracking(
                ownership, pendingReleases, stopRequests, backoff, adoption),
            tokens,
            cluster.teams(),
            cluster.catalog(),
            limits,
            cluster.clock(),
            workload,
            cluster.meters(),
            cluster.permissions().mayPlace(),
            this::sendDueCommands);
    this.provisioner =
        new Provisioner(
            loop,
            cloud,
            fleet,
            ownership,
            rounds,
            workload,
            cluster.catalog(),
            provisioningLimits.cloudRps(),
            provisioningLimits.listLag(),
            provisioningLimits.idleKeep(),
            adoption,
            replica.instanceRequestPrefix() + term + "-",
            cluster.authority().mayChangeFleet(),
            cluster.permissions(),
            this::inspectListed);
    ownership.setListener(new Changes());
  }

  /** What changes of the records set off. */
  private final class Changes implements Ownership.Listener {
    @Override
    public void machineChanged(String machine) {
      touched(machine);
    }

    @Override
    public void jobChanged(JobRecord entry) {
      rounds.jobChanged(entry);
      workload.jobAccepted(entry);
    }

    @Override
    public void jobEnded(JobRecord entry) {
      LOG.info("job {} is {}", entry.job().id(), entry.outcome());
    }

    @Override
    public void released(Ownership.OwnedTask owned) {
      pendingReleases.remove(owned);
      stopRequests.remove(owned);
      MachineState machine = fleet.get(owned.attempt().machine());
      if (machine != null) {
        machine.commands().removeStart(WorkerCommand.start(owned.id(), owned.attempt().number()));
      }
    }

    @Override
    public void reloaded() {
      ordered.addAll(ownership.owningMachines());
      workload.recordsReloaded();
      rounds.recordsReloaded();
    }
  }

  /**
   * What does not change with the term.
   *
   * @param heldClasses see {@link Adoption}
   * @param unrecordedStart told of a task that a worker has and no record, where losses are looked
   *     for
   */
  public record TermDependencies(
      Authority authority,
      Map<String, Team> teams,
      Supplier<List<MachineType>> catalog,
      InstantSource clock,
      FleetPermissions permissions,
      Meters meters,
      Set<String> heldClasses,
      Optional<Consumer<String>> unrecordedStart) {}

  /**
   * What the judgement of this node's links allows.
   *
   * @param mayPlace whether anything may be planned and recorded, rented and deleted
   * @param mayScale whether machines may be rented and idle ones returned
   * @param isZoneHeld whether the machines of a zone are unheard rather than dead
   * @param machineRule when a single machine is given up
   */
  public record FleetPermissions(
      BooleanSupplier mayPlace,
      BooleanSupplier mayScale,
      Predicate<String> isZoneHeld,
      MachineEvictionRule machineRule) {}

  /** What the leader may still do: {@code acts} for workers, {@code sole} for the cloud. */
  public record Authority(BooleanSupplier mayCommandWorkers, BooleanSupplier mayChangeFleet) {}

  /** The cloud's limits and how long idle machines are kept. */
  public record ProvisioningLimits(double cloudRps, Duration listLag, Duration idleKeep) {}

  @Override
  public void start() {
    LOG.info("leading in term {}; rebuilding ownership", term);
    ownership.start();
    rounds.start();
    provisioner.start();
    tick();
  }

  @Override
  public void stop() {
    stopped = true;
    LOG.info("no longer leading in term {}", term);
    ownership.stop();
    rounds.stop();
    provisioner.stop();
    timer.cancel();
  }

  public long term() {
    return term;
  }

  /** How this leader hears its machines. */
  public FleetReachability fleetView() {
    Duration lateSince = loop.now().minus(timings.lateAfter());
    FleetReachability.Builder view = new FleetReachability.Builder();
    for (MachineState machine : fleet.all()) {
      if (!machine.isDeleted()) {
        boolean listedNow = provisioner.isListed(machine.name());
        view.addMachine(machine.zone(), listedNow, machine.contactStanding(lateSince, started));
      }
    }
    return view.build();
  }

  public Fleet fleet() {
    return fleet;
  }

  /** The records changed: a new job, a cancel, this term's own commits. */
  public void recordsChanged() {
    rounds.requestRound();
  }

  /** Answers a report with the current token and the committed commands. */
  public byte[] handleHeartbeat(WorkerHeartbeat report) {
    ingest(report);
    MachineState machine = fleet.get(report.machine());
    long token = tokens.current();
    if (machine == null || machine.isDeleted() || !machine.hasHeartbeat()) {
      return WorkerProtocol.encodeHeartbeatReply(token, List.of());
    }
    MachineEligibility standing = rounds.eligibility(machine);
    boolean waits = machine.contact().recordReply(report, token, loop.now());
    if (standing.isImprovedBy(rounds.eligibility(machine))) {
      // Its lease is renewed, so that it may be given work again.
      rounds.requestRound();
    }
    if (!waits || report.agentEpoch() != machine.latestHeartbeat().agentEpoch()) {
      return WorkerProtocol.encodeHeartbeatReply(token, List.of());
    }
    List<WorkerCommand> list =
        workerCommands.commandsFor(machine, ownership.attemptsOn(machine.name()));
    machine.commands().recordDelivered(list, token, loop.now());
    return WorkerProtocol.encodeHeartbeatReply(token, list);
  }

  /** The answer to a direct call, or word that there was none. */
  private void commandAnswered(MachineState machine, WorkerHeartbeat report) {
    if (report != null) {
      ingest(report);
    }
    // Whether the call may still run bears on what absence proves.
    touched(machine.name());
  }

  /** Something of the machine has changed that may prove an end or ask for a command. */
  private void touched(String machine) {
    rounds.machineChanged(machine);
    ordered.add(machine);
  }

  private void ingest(WorkerHeartbeat report) {
    if (stopped) {
      return;
    }
    if (report.highestFencingToken() > tokens.current()) {
      // Of a later leader; or, in a lost history, of another leader in a term of this number.
      higherTerm.accept(Math.max(FencingToken.term(report.highestFencingToken()), term + 1));
      return;
    }
    MachineState known = fleet.get(report.machine());
    WorkerHeartbeat before = known == null ? null : known.latestHeartbeat();
    // What a report repeats was looked at before; records only come to know more.
    if (startMissing.isPresent()
        && replica.isReconciled()
        && report.hasChangedSince(before)
        && lookForMissingStart(report)) {
      return;
    }
    MachineEligibility standing = rounds.eligibility(known);
    MachineState machine = fleet.accept(report, loop.now());
    if (machine == null || machine.latestHeartbeat() != report) {
      return;
    }
    // A newer token alone is no news: each round would touch every machine and ask for the next.
    if (report.hasChangedSince(before)
        || standing.isImprovedBy(rounds.eligibility(machine))
        || rounds.willExamine(machine.name())) {
      touched(machine.name());
      rounds.requestRound();
    }
    if (report.preemptionNotice() != null
        && (before == null || before.preemptionNotice() == null)) {
      LOG.info(
          "machine {} will be taken in {} s",
          machine.name(),
          report.preemptionNotice().toSeconds());
      drain(machine);
    }
  }

  /** This leader has read all that was recorded before its term, and ordered nothing else. */
  private boolean lookForMissingStart(WorkerHeartbeat report) {
    for (WorkerHeartbeat.TaskStatus item : report.tasks()) {
      String job = item.task().jobId();
      boolean noted = replica.isAbandoned(job) || replica.isUnknownJob(job);
      if (!noted && !Reconciliation.isStartRecorded(replica.job(job), item)) {
        startMissing.get().accept(item.task() + " try " + item.attempt());
        return true;
      }
    }
    return false;
  }

  /** Saves what can be saved on a machine that goes; the rest may still finish in time. */
  private void drain(MachineState machine) {
    for (Ownership.OwnedTask owned : ownership.attemptsOn(machine.name())) {
      Duration save = owned.entry().job().checkpointDuration();
      boolean saves = !owned.entry().job().checkpointInterval().isZero();
      if (saves && save.compareTo(machine.latestHeartbeat().preemptionNotice()) < 0) {
        stopRequests.add(
            owned.id(), owned.attempt().number(), machine.latestHeartbeat().preemptionNotice());
        rounds.machineChanged(machine.name());
      }
    }
    sendDueCommands();
  }

  /** Sends what is due to the machines that something has changed for. */
  private void sendDueCommands() {
    if (stopped || !authority.mayCommandWorkers().getAsBoolean()) {
      return;
    }
    Duration now = loop.now();
    for (Iterator<String> names = ordered.iterator(); names.hasNext(); ) {
      MachineState machine = fleet.get(names.next());
      if (machine == null || machine.isDeleted()) {
        names.remove();
      } else if (machine.hasHeartbeat() && !machine.commands().isCallInFlight()) {
        List<WorkerCommand> due =
            workerCommands.commandsFor(machine, ownership.attemptsOn(machine.name()));
        due.removeIf(order -> order.action() == WorkerCommand.Action.ACKNOWLEDGE);
        if (due.isEmpty()) {
          names.remove();
          continue;
        }
        due.removeIf(order -> machine.commands().wasDeliveredWithin(order, TOLD, now));
        if (!due.isEmpty()) {
          commandSender.send(machine, due);
        }
      }
    }
  }

  private void tick() {
    Duration next = Duration.ofMillis(placing ? 250 : 100);
    backlog.timerFired(loop.now(), next);
    timer = loop.schedule(next, this::tick);
    if (adoption.isOpen()) {
      checkAdopted();
    } else if (placing) {
      probeLate();
    } else {
      checkRebuilt();
    }
    sendDueCommands();
  }

  /**
   * After a loss of state tasks may run that no record tells of. Placing waits until every machine
   * that may run one has shown a token of this term, or its lease has surely run out.
   */
  private void checkAdopted() {
    Duration now = loop.now();
    Duration limit = started.plus(timings.authority()).plus(timings.workerLeaseExpiry());
    Duration listsAll = started.plus(Durations.multiply(listLag, 2));
    boolean over = now.compareTo(limit) > 0;
    if ((over || provisioner.isListReadSince(listsAll) && allFenced())
        && adoption.isAllRecorded()) {
      LOG.info(
          "what ran when the state was lost is taken in after {} ms, {}",
          now.minus(started).toMillis(),
          over ? "by time" : "all heard");
      rounds.recordReconciled();
    } else {
      rounds.requestRound();
    }
    probeLate();
  }

  private boolean allFenced() {
    Set<String> names = new HashSet<>(provisioner.listedMachines());
    names.addAll(ownership.owningMachines());
    fleet.all().forEach(machine -> names.add(machine.name()));
    for (String name : names) {
      MachineState machine = fleet.get(name);
      boolean fenced = machine != null && machine.contact().hasTokenAbove(tokens.termBase());
      if (!fenced && !fleet.isDeleted(name)) {
        return false;
      }
    }
    return true;
  }

  /**
   * Placing waits for every live worker's report. A listed worker that has neither reported nor
   * answered a call within the silence limit does not count as live; without a list the wait is two
   * reports' time. What the others own stays owned until its end is proved.
   */
  private void checkRebuilt() {
    Duration now = loop.now();
    boolean all = listed != null;
    for (MachineState machine : fleet.all()) {
      all &= machine.isDeleted() || machine.hasHeartbeat();
    }
    for (String name : ownership.owningMachines()) {
      all &= fleet.isDeleted(name) || fleet.hasSentHeartbeat(name);
    }
    Duration limit =
        listed == null
            ? started.plus(Durations.multiply(timings.heartbeatInterval(), 2))
            : listed.plus(SILENCE);
    if (all || now.compareTo(limit) > 0) {
      placing = true;
      LOG.info(
          "ownership rebuilt from {} machines after {} ms, {}",
          fleet.all().size(),
          now.minus(started).toMillis(),
          all ? "all heard" : "some not heard");
      rounds.allowPlacing();
    }
  }

  /** Calls listed machines that have not reported yet, so that take-over need not wait for them. */
  private void inspectListed() {
    listed = listed == null ? loop.now() : listed;
    for (MachineState machine : fleet.all()) {
      if (machine.hasEndpoint() && !machine.hasHeartbeat() && inspected.add(machine.name())) {
        toInspect.add(machine.name());
      }
    }
    inspectNext();
  }

  /**
   * Calls machines that own tasks and are late, once in each silence: a dead or hung one is known
   * in half the time that its reports alone would take, and a live one whose reports go astray is
   * not taken for dead.
   */
  private void probeLate() {
    Duration lateSince = loop.now().minus(timings.lateAfter());
    for (String name : ownership.owningMachines()) {
      MachineState machine = fleet.get(name);
      if (machine != null
          && !machine.isDeleted()
          && machine.hasEndpoint()
          && machine.contact().isProbeDue(lateSince)) {
        machine.contact().recordProbe();
        toInspect.add(name);
      }
    }
    inspectNext();
  }

  /**
   * A few at a time: a thousand calls at once would take all sockets, and all of the processor. On
   * 7.6% of a core they did so after each take-over, so that reports were answered too late and a
   * thousand tasks lost their leases after a single controller had ended.
   */
  private void inspectNext() {
    int most = backlog.isBehind() ? FEW_INSPECTING : MAX_INSPECTING;
    while (inspecting < most && !toInspect.isEmpty() && !stopped) {
      Iterator<String> first = toInspect.iterator();
      MachineState machine = fleet.get(first.next());
      first.remove();
      if (machine == null || machine.isDeleted() || machine.contact().hasHeartbeatSinceProbe()) {
        continue;
      }
      inspecting++;
      Duration asked = loop.now();
      workers
          .requestHeartbeat(machine.endpoint())
          .whenComplete(
              (report, failure) -> {
                inspecting--;
                Duration took = loop.now().minus(asked);
                if (failure == null && !stopped) {
                  ingest(report);
                  fence(machine);
                } else if (!machine.contact().hasHeartbeatSinceProbe()
                    && took.compareTo(Durations.divide(timings.workerTimeout(), 2)) > 0) {
                  // A call that fails at once found no socket, which says nothing of the machine.
                  machine.contact().markUnresponsive();
                }
                inspectNext();
              });
    }
  }

  private void fence(MachineState machine) {
    if (machine.hasHeartbeat()
        && machine.latestHeartbeat().highestFencingToken() < tokens.current()) {
      commandSender.send(
          machine, workerCommands.commandsFor(machine, ownership.attemptsOn(machine.name())));
    }
  }
}
