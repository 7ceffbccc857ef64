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
 * One term of this node as leader. A term first reconciles the tasks that run with the records, and
 * then runs scheduling rounds until it is stopped. Its state is kept in memory only and is lost
 * with the term; the next leader starts from the records and the workers' heartbeats.
 *
 * <p>Used on the event loop only.
 */
public final class LeaderTerm implements Lifecycle {
  private static final Logger LOG = LoggerFactory.getLogger(LeaderTerm.class);
  private static final Duration FAILOVER_TICK_INTERVAL = Duration.ofMillis(100);
  private static final Duration TICK_INTERVAL = Duration.ofMillis(250);

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

  /** The services of the node that a term uses; they outlive the term. */
  public record Services(
      EventLoop loop,
      InstantSource clock,
      ClusterRecords records,
      WorkerClient workers,
      CloudClient cloud,
      Supplier<List<MachineType>> catalog,
      Meters meters) {}

  /**
   * The settings of a term.
   *
   * @param teams the teams by name
   * @param heldClasses the job classes held after a loss of state, see {@link TaskAdoption}
   */
  public record TermSettings(
      Timings timings,
      RoundLimits rounds,
      ProvisioningLimits provisioning,
      Map<String, Team> teams,
      Set<String> heldClasses) {}

  /**
   * The conditions under which the leader may act, checked before each action.
   *
   * @param mayCommandWorkers whether it may send commands to workers
   * @param mayChangeFleet whether there is certainly no other leader that changes the fleet
   * @param permissions what the state of this node's links allows the leader to do
   */
  public record Authority(
      BooleanSupplier mayCommandWorkers,
      BooleanSupplier mayChangeFleet,
      FleetPermissions permissions) {}

  /**
   * Receivers of evidence that contradicts the term or its records. Each of them may end the term.
   *
   * @param onHigherTerm receives the number of a higher term whose fencing token a worker has shown
   * @param onUnrecordedStart receives the description of an attempt that a worker runs and no
   *     record holds; empty if this node does not detect losses of state
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
      ContradictionListeners contradictionListeners,
      RoundCommitter committer,
      long term) {
    this.term = term;
    loop = services.loop();
    timings = settings.timings();
    termStart = loop.now();
    state =
        TermState.create(
            term, termStart, services.records(), services.clock(), timings, settings.heldClasses());
    rounds = newSchedulingLoop(services, settings, committer, authority.permissions());
    provisioner = newProvisioner(services, settings, authority);
    CommandSender sender =
        new CommandSender(
            loop,
            services.workers(),
            state.tokens(),
            timings.workerTimeout(),
            this::onCommandsAnswered);
    dispatcher =
        new CommandDispatcher(
            loop,
            state,
            new WorkerCommandPlanner(state.tokens(), state.tasks()),
            sender,
            authority.mayCommandWorkers());
    ConsistencyCheck consistencyCheck =
        new ConsistencyCheck(services.records(), state.tokens(), term, contradictionListeners);
    heartbeats = new HeartbeatHandler(loop, state, rounds, dispatcher, consistencyCheck);
    prober = new MachineProber(loop, state, services.workers(), timings, lag, this::onProbeReply);
    Duration listLag = settings.provisioning().listLag();
    failover =
        new FailoverReconciliation(loop, termStart, timings, listLag, state, rounds, provisioner);
    state.tasks().ownership().setListener(new OwnershipChangeHandler(state, rounds, dispatcher));
  }

  private SchedulingLoop newSchedulingLoop(
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
        new RoundCallbacks(permissions));
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
        () -> prober.onMachinesListed());
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

  /** Returns the number of the term. */
  public long term() {
    return term;
  }

  /** Returns the contact state of all machines that are not deleted. */
  public FleetReachability fleetReachability() {
    Duration lateCutoff = loop.now().minus(timings.heartbeatLateAfter());
    FleetReachability.Builder view = new FleetReachability.Builder();
    for (MachineState machine : state.fleet().all()) {
      if (!machine.isDeleted()) {
        view.addMachine(
            machine.zone(),
            provisioner.isListed(machine.name()),
            machine.contactState(lateCutoff, termStart));
      }
    }
    return view.build();
  }

  /** Returns the machines that this leader knows. */
  public Fleet fleet() {
    return state.fleet();
  }

  /** Requests a scheduling round, since the records or this node's links have changed. */
  public void requestRound() {
    rounds.requestRound();
  }

  /**
   * Records a heartbeat, which may end the term. Returns the encoded reply with the current fencing
   * token and the commands that are due.
   */
  public byte[] answerHeartbeat(WorkerHeartbeat heartbeat) {
    return heartbeats.answer(heartbeat);
  }

  private void tick() {
    Duration next = failover.isDone() ? TICK_INTERVAL : FAILOVER_TICK_INTERVAL;
    lag.onTimerFired(loop.now(), next);
    timer = loop.schedule(next, this::tick);
    if (state.tasks().adoption().isInProgress()) {
      failover.checkAdoptionComplete();
      prober.probeLateMachines();
    } else if (failover.isDone()) {
      prober.probeLateMachines();
    } else {
      failover.checkOwnershipRebuilt(prober.firstListedAt());
    }
    dispatcher.sendDueCommands();
  }

  private void onCommandsAnswered(MachineState machine, Optional<WorkerHeartbeat> answer) {
    answer.ifPresent(heartbeats::recordHeartbeat);
    // The absence of a task proves nothing while the call may still be executed.
    onMachineChanged(machine.name());
  }

  private void onProbeReply(MachineState machine, WorkerHeartbeat heartbeat) {
    heartbeats.recordHeartbeat(heartbeat);
    dispatcher.fence(machine);
  }

  /** Has the machine checked for attempts that have ended and commands that are due. */
  private void onMachineChanged(String machine) {
    rounds.onMachineChanged(machine);
    dispatcher.onMachineChanged(machine);
  }

  /** Answers the scheduling loop with the permissions and the command dispatcher of the term. */
  private final class RoundCallbacks implements SchedulingLoop.Callbacks {
    private final FleetPermissions permissions;

    RoundCallbacks(FleetPermissions permissions) {
      this.permissions = permissions;
    }

    @Override
    public boolean mayPlace() {
      return permissions.mayPlace().getAsBoolean();
    }

    @Override
    public void onCommandsChanged() {
      dispatcher.sendDueCommands();
    }
  }
}
