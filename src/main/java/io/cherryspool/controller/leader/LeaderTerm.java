package io.cherryspool.controller.leader;

import io.cherryspool.cloud.CloudClient;
import io.cherryspool.controller.fleet.Fleet;
import io.cherryspool.controller.fleet.FleetPermissions;
import io.cherryspool.controller.fleet.MachineState;
import io.cherryspool.controller.metrics.Meters;
import io.cherryspool.controller.provisioning.Provisioner;
import io.cherryspool.controller.provisioning.ProvisioningLimits;
import io.cherryspool.controller.rounds.PlanningInputs;
import io.cherryspool.controller.rounds.RoundCommitter;
import io.cherryspool.controller.rounds.RoundLimits;
import io.cherryspool.controller.rounds.SchedulingLoop;
import io.cherryspool.controller.rounds.TaskAdoption;
import io.cherryspool.controller.rounds.TermState;
import io.cherryspool.controller.timing.EventLoopLag;
import io.cherryspool.controller.timing.Timings;
import io.cherryspool.lifecycle.EventLoop;
import io.cherryspool.lifecycle.Lifecycle;
import io.cherryspool.model.MachineType;
import io.cherryspool.model.Team;
import io.cherryspool.model.WorkerHeartbeat;
import io.cherryspool.reachability.FleetReachability;
import io.cherryspool.store.ClusterRecords;
import io.cherryspool.worker.WorkerClient;
import java.time.Duration;
import java.time.InstantSource;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One term of this node as leader: reconciles what runs with the records, then runs rounds, until
 * it is stopped. All that it knows ends with it; the next leader starts from the records and the
 * workers' heartbeats.
 *
 * <p>Used on the event loop only.
 */
public final class LeaderTerm implements Lifecycle {
  private static final Logger LOG = LoggerFactory.getLogger(LeaderTerm.class);
  private static final Duration TICK_DURING_FAILOVER = Duration.ofMillis(100);
  private static final Duration TICK = Duration.ofMillis(250);

  private final EventLoop loop;
  private final long term;
  private final Timings timings;
  private final Duration termStart;
  private final TermState state;
  private final SchedulingLoop rounds;
  private final Provisioner provisioner;
  private final CommandDispatcher dispatcher;
  private final HeartbeatHandler heartbeats;
  private final MachineProber prober;
  private final FailoverReconciliation failover;
  private final EventLoopLag lag = new EventLoopLag();
  private EventLoop.Timer timer;

  /** What a term runs on and calls; it outlives the term. */
  public record Services(
      EventLoop loop,
      InstantSource clock,
      ClusterRecords records,
      WorkerClient workers,
      CloudClient cloud,
      Supplier<List<MachineType>> catalog,
      Meters meters) {}

  /**
   * The settings that a term works by.
   *
   * @param teams the teams by name
   * @param heldClasses see {@link TaskAdoption}
   */
  public record TermSettings(
      Timings timings,
      RoundLimits rounds,
      ProvisioningLimits provisioning,
      Map<String, Team> teams,
      Set<String> heldClasses) {}

  /**
   * What the leader may do now.
   *
   * @param mayCommandWorkers whether it may act for the controllers towards workers
   * @param mayChangeFleet whether there is surely no other leader, so that it may have machines
   *     added and deleted
   * @param permissions what the verdict on this node's links allows
   */
  public record Authority(
      BooleanSupplier mayCommandWorkers,
      BooleanSupplier mayChangeFleet,
      FleetPermissions permissions) {}

  /**
   * Receivers of what a term finds out and the whole node must know; each may end the term.
   *
   * @param onHigherTerm receives a higher term that a worker has shown
   * @param onUnrecordedStart receives an attempt that a worker has and no record, where losses of
   *     state are looked for
   */
  public record ContradictionListeners(
      LongConsumer onHigherTerm, Optional<Consumer<String>> onUnrecordedStart) {}

  /**
   * Creates a term that has not started.
   *
   * @param committer commits the rounds of this term, and is stopped with it
   */
  public LeaderTerm(
      Services services,
      TermSettings settings,
      Authority authority,
      ContradictionListeners findings,
      RoundCommitter committer,
      long term) {
    this.term = term;
    loop = services.loop();
    timings = settings.timings();
    termStart = loop.now();
    state =
        TermState.create(
            term, termStart, services.records(), services.clock(), timings, settings.heldClasses());
    rounds = newRounds(services, settings, committer, authority.permissions());
    provisioner = newProvisioner(services, settings, authority);
    CommandSender sender =
        new CommandSender(
            loop,
            services.workers(),
            state.tokens(),
            timings.workerTimeout(),
            this::commandsAnswered);
    dispatcher =
        new CommandDispatcher(
            loop,
            state,
            new WorkerCommandPlanner(state.tokens(), state.tasks()),
            sender,
            authority.mayCommandWorkers());
    HistoryCheck historyCheck =
        new HistoryCheck(services.records(), state.tokens(), term, findings);
    heartbeats = new HeartbeatHandler(loop, state, rounds, dispatcher, historyCheck);
    prober = new MachineProber(loop, state, services.workers(), timings, lag, this::probeAnswered);
    Duration listLag = settings.provisioning().listLag();
    failover =
        new FailoverReconciliation(loop, termStart, timings, listLag, state, rounds, provisioner);
    state.tasks().ownership().setListener(new OwnershipChangeHandler(state, rounds, dispatcher));
  }

  private SchedulingLoop newRounds(
      Services services,
      TermSettings settings,
      RoundCommitter committer,
      FleetPermissions permissions) {
    return new SchedulingLoop(
        loop,
        services.records(),
        committer,
        state,
        new PlanningInputs(
            settings.teams(), services.catalog(), services.clock(), settings.rounds()),
        services.meters(),
        new RoundHost(permissions));
  }

  private Provisioner newProvisioner(
      Services services, TermSettings settings, Authority authority) {
    return new Provisioner(
        loop,
        new Provisioner.CloudAccess(
            services.cloud(),
            settings.provisioning(),
            services.records().instanceRequestPrefix() + term + "-",
            authority.mayChangeFleet()),
        new Provisioner.ClusterState(
            state.fleet(),
            state.tasks().ownership(),
            state.tasks().adoption(),
            rounds,
            state.demand(),
            services.catalog()),
        authority.permissions(),
        () -> prober.machinesListed());
  }

  @Override
  public void start() {
    LOG.info("leading in term {}; rebuilding ownership", term);
    state.tasks().ownership().start();
    rounds.start();
    provisioner.start();
    tick();
  }

  @Override
  public void stop() {
    dispatcher.stop();
    heartbeats.stop();
    prober.stop();
    LOG.info("no longer leading in term {}", term);
    state.tasks().ownership().stop();
    rounds.stop();
    provisioner.stop();
    timer.cancel();
  }

  /** The number of the term. */
  public long term() {
    return term;
  }

  /** How this leader reaches its machines. */
  public FleetReachability fleetReachability() {
    Duration lateSince = loop.now().minus(timings.heartbeatLateAfter());
    FleetReachability.Builder view = new FleetReachability.Builder();
    for (MachineState machine : state.fleet().all()) {
      if (!machine.isDeleted()) {
        view.addMachine(
            machine.zone(),
            provisioner.isListed(machine.name()),
            machine.contactState(lateSince, termStart));
      }
    }
    return view.build();
  }

  /** The machines that this leader knows. */
  public Fleet fleet() {
    return state.fleet();
  }

  /** Has a round run soon, since the records or this node's links have changed. */
  public void requestRound() {
    rounds.requestRound();
  }

  /**
   * Takes in a heartbeat, which may end the term; returns the encoded reply with the current token
   * and the commands that are due.
   */
  public byte[] handleHeartbeat(WorkerHeartbeat heartbeat) {
    return heartbeats.handle(heartbeat);
  }

  private void tick() {
    Duration next = failover.isDone() ? TICK : TICK_DURING_FAILOVER;
    lag.timerFired(loop.now(), next);
    timer = loop.schedule(next, this::tick);
    if (state.tasks().adoption().isInProgress()) {
      failover.checkAdopted();
      prober.probeLate();
    } else if (failover.isDone()) {
      prober.probeLate();
    } else {
      failover.checkRebuilt(prober.firstListedAt());
    }
    dispatcher.sendDue();
  }

  private void commandsAnswered(MachineState machine, Optional<WorkerHeartbeat> answer) {
    answer.ifPresent(heartbeats::accept);
    // Whether the call may still run bears on what absence proves.
    machineChanged(machine.name());
  }

  private void probeAnswered(MachineState machine, WorkerHeartbeat heartbeat) {
    heartbeats.accept(heartbeat);
    dispatcher.fence(machine);
  }

  /** Something about the machine may prove an end or make a command due. */
  private void machineChanged(String machine) {
    rounds.onMachineChanged(machine);
    dispatcher.machineChanged(machine);
  }

  /** What the rounds need of the term. */
  private final class RoundHost implements SchedulingLoop.Host {
    private final FleetPermissions permissions;

    RoundHost(FleetPermissions permissions) {
      this.permissions = permissions;
    }

    @Override
    public boolean mayPlace() {
      return permissions.mayPlace().getAsBoolean();
    }

    @Override
    public void onCommandsChanged() {
      dispatcher.sendDue();
    }
  }
}
