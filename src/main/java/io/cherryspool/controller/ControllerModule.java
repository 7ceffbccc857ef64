package io.cherryspool.controller;

import io.cherryspool.cloud.CloudClient;
import io.cherryspool.config.OperatorSettings;
import io.cherryspool.config.RecoverySettings;
import io.cherryspool.config.Settings;
import io.cherryspool.controller.api.JobRoutes;
import io.cherryspool.controller.api.LinksApi;
import io.cherryspool.controller.api.NodeApi;
import io.cherryspool.controller.api.NodeService;
import io.cherryspool.controller.api.RequestForwarder;
import io.cherryspool.controller.api.StateStoreHealth;
import io.cherryspool.controller.api.SubmissionValidator;
import io.cherryspool.controller.api.UserApi;
import io.cherryspool.controller.api.WorkerApi;
import io.cherryspool.controller.election.Election;
import io.cherryspool.controller.election.ProcessIdentity;
import io.cherryspool.controller.election.StateStoreAccess;
import io.cherryspool.controller.fleet.FleetPermissions;
import io.cherryspool.controller.leader.LeaderTerm;
import io.cherryspool.controller.metrics.Meters;
import io.cherryspool.controller.metrics.ReachabilityMeters;
import io.cherryspool.controller.provisioning.MachineTypeCatalog;
import io.cherryspool.controller.provisioning.ProvisioningLimits;
import io.cherryspool.controller.recovery.ElectionClusterNode;
import io.cherryspool.controller.recovery.RecoveryModule;
import io.cherryspool.controller.rounds.RoundCommitter;
import io.cherryspool.controller.rounds.RoundLimits;
import io.cherryspool.controller.timing.Timings;
import io.cherryspool.lifecycle.EventLoop;
import io.cherryspool.model.Team;
import io.cherryspool.reachability.Reachability;
import io.cherryspool.recovery.RecoveryTimings;
import io.cherryspool.store.ClusterRecords;
import io.cherryspool.store.GroupCommit;
import io.cherryspool.worker.WorkerClient;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.binder.MeterBinder;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Creates the components of one controller node and connects them. It has no behaviour of its own;
 * {@link Controller} runs the components. The class is longer than others because it creates every
 * component.
 */
final class ControllerModule implements MeterBinder {
  /**
   * The number of heartbeats that a node sends to the other nodes within the length of a state
   * store lease.
   */
  static final int HEARTBEATS_PER_LEASE = 8;

  /**
   * The fraction of the state store's write limit that a rebuild may use. Renewals of the nodes'
   * leases don't count against that limit.
   */
  private static final double REBUILD_WRITE_SHARE = 0.85;

  /** The maximum number of changes that may wait on a node, in full transactions. */
  private static final int QUEUED_TRANSACTIONS = 4;

  private final Settings settings;
  private final OperatorSettings operators;
  private final Controller.Dependencies dependencies;
  private final EventLoop loop;
  private final Timings timings;
  private final Map<String, Team> teams = new HashMap<>();
  private final Meters meters = new Meters();
  private final Reachability reachability;
  private final StateStoreAccess stateStore;
  private final Election election;
  private final Optional<RecoveryModule> recovery;
  private final CloudClient cloud;
  private final WorkerClient workers;
  private final MachineTypeCatalog catalog;
  private final GroupCommit commits;
  private final LeaderTerms terms;
  private final PeerHeartbeatFactory heartbeatFactory;
  private final NodeApi api;

  ControllerModule(
      Settings settings, OperatorSettings operators, Controller.Dependencies dependencies) {
    this.settings = settings;
    this.operators = operators;
    this.dependencies = dependencies;
    this.loop = dependencies.environment().loop();
    this.timings = Timings.fromSettings(settings, operators);
    settings.teams().forEach(team -> teams.put(team.name(), team));
    ServiceClients clients =
        new ServiceClients(settings, operators.partitions(), timings, dependencies);
    reachability = clients.reachability();
    stateStore = clients.stateStore();
    election =
        new Election(
            loop,
            stateStore,
            dependencies.environment().random(),
            timings,
            new ProcessIdentity(settings.name(), dependencies.processId()),
            reachability);
    recovery = operators.recovery().map(this::newRecovery);
    cloud = clients.cloud();
    workers = clients.workers();
    catalog = newMachineTypeCatalog();
    commits = newGroupCommit();
    terms =
        new LeaderTerms(loop, election, stateStore, reachability, recovery, this::newLeaderTerm);
    StateStoreHealth health = newStateStoreHealth();
    heartbeatFactory = newPeerHeartbeatFactory(health);
    api = newApi(health);
  }

  private RecoveryModule newRecovery(RecoverySettings recoverySettings) {
    Settings.StateStoreLimits limits = settings.stateStoreLimits();
    Duration bootstrap =
        timings.heartbeatInterval().multipliedBy(2).plus(timings.stateStoreLease());
    ElectionClusterNode node =
        new ElectionClusterNode(
            loop,
            settings.name(),
            settings.peers().size(),
            reachability::matrix,
            timings.stateStoreLease(),
            election,
            this::updateTerms);
    return new RecoveryModule(
        new RecoveryModule.Dependencies(
            loop,
            stateStore,
            election,
            dependencies.environment().random(),
            dependencies.environment().clock()),
        node,
        new RecoveryTimings(
            recoverySettings.gatherDuration(),
            bootstrap,
            limits.maxValueBytes(),
            limits.maxTransactionOperations(),
            limits.writesPerSecond() * REBUILD_WRITE_SHARE),
        dependencies.snapshotTarget(),
        recoverySettings.snapshotInterval());
  }

  /**
   * Starts or stops a term according to the elections. The recovery is created before {@code
   * terms}, but calls this method only after the node has started.
   */
  private void updateTerms() {
    terms.update();
  }

  private MachineTypeCatalog newMachineTypeCatalog() {
    return new MachineTypeCatalog(
        loop,
        cloud,
        stateStore.records(),
        stateStore.client(),
        stateStore.rateLimiter(),
        election::isLeader);
  }

  private GroupCommit newGroupCommit() {
    int maxChanges = settings.stateStoreLimits().maxTransactionOperations();
    return new GroupCommit(
        loop,
        stateStore.client(),
        stateStore.rateLimiter(),
        maxChanges,
        QUEUED_TRANSACTIONS * maxChanges,
        timings.stateStoreTimeout());
  }

  private StateStoreHealth newStateStoreHealth() {
    boolean hasPeers = !settings.peers().isEmpty();
    return new StateStoreHealth(
        loop, stateStore.records(), reachability, timings, recovery, hasPeers);
  }

  private PeerHeartbeatFactory newPeerHeartbeatFactory(StateStoreHealth health) {
    return new PeerHeartbeatFactory(
        settings.name(),
        settings.clientAddress(),
        stateStore,
        health,
        reachability,
        terms,
        recovery);
  }

  private NodeApi newApi(StateStoreHealth health) {
    NodeService node =
        new ControllerNodeService(
            loop, terms, reachability, heartbeatFactory, dependencies.metricsText());
    Optional<RequestForwarder> forwarder =
        operators.partitions().forwardsRequests()
            ? Optional.of(
                new RequestForwarder(dependencies.transport(), node::recentPeerHeartbeats))
            : Optional.empty();
    SubmissionValidator validator =
        new SubmissionValidator(
            teams,
            catalog::types,
            dependencies.environment().clock(),
            settings.stateStoreLimits().maxValueBytes());
    UserApi users =
        new UserApi(
            stateStore.records(),
            commits,
            validator,
            health::isBehindPeers,
            operators.failureCap());
    return new NodeApi(
        node,
        new JobRoutes(users, health, forwarder, meters),
        new WorkerApi(settings.name(), node, stateStore.records(), health, recovery, meters),
        new LinksApi(settings.name(), settings.peerNames()),
        health,
        recovery);
  }

  /** Creates the leader for the term for which this node was just elected. */
  private LeaderTerm newLeaderTerm() {
    ClusterRecords records = stateStore.records();
    int maxChanges = settings.stateStoreLimits().maxTransactionOperations();
    RoundCommitter committer =
        new RoundCommitter(
            loop, stateStore.client(), stateStore.rateLimiter(), maxChanges, records.termVersion());
    return new LeaderTerm(
        new LeaderTerm.Services(
            loop,
            dependencies.environment().clock(),
            records,
            workers,
            cloud,
            catalog::types,
            meters),
        newTermSettings(maxChanges),
        newAuthority(),
        new LeaderTerm.ContradictionListeners(
            terms::observeTerm, recovery.map(module -> module::reportUnrecordedStart)),
        committer,
        records.term());
  }

  private LeaderTerm.TermSettings newTermSettings(int maxChanges) {
    return new LeaderTerm.TermSettings(
        timings,
        new RoundLimits(
            operators.maxRoundInterval(),
            timings.heartbeatInterval().multipliedBy(2).plusMillis(500),
            settings.workerLease().dividedBy(2),
            operators.maxStartDelay(),
            operators.failureCap(),
            maxChanges,
            settings.deadlineMultiples()),
        new ProvisioningLimits(
            settings.cloudRequestsPerSecond(), settings.cloudListLag(), operators.idleTimeout()),
        teams,
        operators.recovery().map(RecoverySettings::heldJobClasses).orElse(Set.of()));
  }

  private LeaderTerm.Authority newAuthority() {
    return new LeaderTerm.Authority(
        election::mayCommandWorkers,
        election::mayChangeFleet,
        new FleetPermissions(
            reachability::mayPlaceTasks,
            reachability::mayChangeFleet,
            reachability::isZoneEvictionSuspended,
            reachability.machineEvictionRule()));
  }

  @Override
  public void bindTo(MeterRegistry registry) {
    ClusterRecords records = stateStore.records();
    meters.bindTo(registry);
    Gauge.builder("cherryspool.leading", () -> terms.isTermActive() ? 1 : 0).register(registry);
    Gauge.builder("cherryspool.term", records::term).register(registry);
    Gauge.builder("cherryspool.jobs.active", () -> records.activeJobs().size()).register(registry);
    Gauge.builder("cherryspool.jobs.accepted", records::jobCount).register(registry);
    Gauge.builder("cherryspool.machines", terms::machineCount).register(registry);
    Gauge.builder("cherryspool.machines.lost", () -> terms.fleetReachability().missingMachines())
        .register(registry);
    new ReachabilityMeters(reachability, loop).bindTo(registry);
    Gauge.builder("cherryspool.changes.waiting", commits::queuedChanges).register(registry);
    Gauge.builder("cherryspool.changes.left", stateStore.rateLimiter()::availableWrites)
        .register(registry);
    recovery.ifPresent(module -> module.bindTo(registry));
  }

  Timings timings() {
    return timings;
  }

  Reachability reachability() {
    return reachability;
  }

  StateStoreAccess stateStore() {
    return stateStore;
  }

  Election election() {
    return election;
  }

  /** The recovery; empty on a node that doesn't detect lost records. */
  Optional<RecoveryModule> recovery() {
    return recovery;
  }

  MachineTypeCatalog catalog() {
    return catalog;
  }

  LeaderTerms terms() {
    return terms;
  }

  PeerHeartbeatFactory heartbeatFactory() {
    return heartbeatFactory;
  }

  NodeApi api() {
    return api;
  }
}
