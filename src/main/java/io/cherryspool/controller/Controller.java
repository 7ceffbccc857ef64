package io.cherryspool.controller;

import io.cherryspool.cloud.CloudClient;
import io.cherryspool.config.OperatorSettings;
import io.cherryspool.config.RecoverySettings;
import io.cherryspool.config.Settings;
import io.cherryspool.controller.api.LinksApi;
import io.cherryspool.controller.api.NodeApi;
import io.cherryspool.controller.api.RequestForwarder;
import io.cherryspool.controller.api.StateStoreHealth;
import io.cherryspool.controller.api.UserApi;
import io.cherryspool.controller.election.Election;
import io.cherryspool.controller.leader.LeaderTerm;
import io.cherryspool.controller.metrics.Meters;
import io.cherryspool.controller.metrics.ReachabilityMeters;
import io.cherryspool.controller.provisioning.MachineTypeCatalog;
import io.cherryspool.controller.recovery.ElectionClusterNode;
import io.cherryspool.controller.recovery.RecoveryModule;
import io.cherryspool.controller.recovery.SnapshotTarget;
import io.cherryspool.controller.rounds.RoundCommitter;
import io.cherryspool.controller.rounds.SchedulingLoop;
import io.cherryspool.controller.timing.Timings;
import io.cherryspool.http.ObservedTransport;
import io.cherryspool.http.Reply;
import io.cherryspool.http.Request;
import io.cherryspool.http.RequestHandler;
import io.cherryspool.http.Transport;
import io.cherryspool.lifecycle.EventLoop;
import io.cherryspool.lifecycle.Lifecycle;
import io.cherryspool.mesh.LinkSummary;
import io.cherryspool.mesh.Mesh;
import io.cherryspool.model.Durations;
import io.cherryspool.model.Team;
import io.cherryspool.model.WorkerHeartbeat;
import io.cherryspool.reachability.FleetReachability;
import io.cherryspool.reachability.PartitionRule;
import io.cherryspool.reachability.Reachability;
import io.cherryspool.reachability.ReachabilityTimings;
import io.cherryspool.reachability.Verdict;
import io.cherryspool.reachability.VerdictRule;
import io.cherryspool.recovery.RecoveryTimings;
import io.cherryspool.store.GroupCommit;
import io.cherryspool.store.RateLimiter;
import io.cherryspool.store.Replica;
import io.cherryspool.store.StateStoreClient;
import io.cherryspool.wire.StateStoreProtocol;
import io.cherryspool.worker.WorkerClient;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.binder.MeterBinder;
import java.time.Duration;
import java.time.InstantSource;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Predicate;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One controller node: answers requests, takes part in elections, and leads while it is elected. It
 * knows sockets, clocks and chance only through what it is given.
 */
public final class Controller implements Lifecycle, RequestHandler, MeterBinder {
  private static final Logger LOG = LoggerFactory.getLogger(Controller.class);
  private static final int HEARTBEATS_PER_LEASE = 8;
  private static final int UNAVAILABLE = 503;

  /** Of the state service's limit on changes, what a rebuild uses; the nodes' leases need none. */
  private static final double REBUILD_WRITES = 0.85;

  private final EventLoop loop;
  private final Settings settings;
  private final OperatorSettings operators;
  private final Timings timings;
  private final Mesh mesh;
  private final InstantSource clock;
  private final Supplier<String> metrics;
  private final Map<String, Team> teams = new HashMap<>();
  private final Meters meters = new Meters();
  private final Reachability reachability;
  private final StateStoreHealth standing;
  private final StateStoreClient state;
  private final RateLimiter rateLimiter;
  private final Replica replica;
  private final Election election;
  private final CloudClient cloud;
  private final WorkerClient workers;
  private final MachineTypeCatalog catalog;
  private final GroupCommit commits;
  private final NodeApi api;
  private final Optional<RecoveryModule> recovery;
  private LeaderTerm leaderTerm;
  private EventLoop.Timer timer;

  /**
   * What a node knows of time and chance, so that the simulation can run the same code.
   *
   * @param loop the one thread of the node, with its monotonic clock
   * @param clock the wall clock, which may be set back
   */
  public record Environment(EventLoop loop, InstantSource clock, RandomGenerator random) {}

  /**
   * What a node works with.
   *
   * @param processId differs for each process of the node
   * @param metricsText prints the node's meters
   * @param verdictRule judges the links; empty for the usual rule
   */
  public record Dependencies(
      Environment environment,
      Transport transport,
      Mesh mesh,
      String processId,
      Supplier<String> metricsText,
      Optional<SnapshotTarget> snapshotTarget,
      Optional<VerdictRule> verdictRule) {}

  public Controller(Settings settings, OperatorSettings operators, Dependencies given) {
    this.settings = settings;
    this.operators = operators;
    this.loop = given.environment().loop();
    this.mesh = given.mesh();
    this.clock = given.environment().clock();
    this.metrics = given.metricsText();
    this.timings = Timings.fromSettings(settings, operators);
    settings.teams().forEach(team -> teams.put(team.name(), team));
    Settings.StateStoreLimits limits = settings.stateStoreLimits();
    int nodes = settings.peers().size() + 1;
    reachability = newReachability(given.verdictRule());
    rateLimiter =
        new RateLimiter(loop, nodes, limits.requestsPerSecond(), limits.writesPerSecond());
    state =
        new StateStoreClient(
            loop,
            rateLimiter,
            observed(
                given.transport(),
                request -> !StateStoreProtocol.isWatch(request),
                reply -> reply.status() == UNAVAILABLE,
                reachability.stateLink()),
            settings.stateStoreAddress(),
            timings.stateStoreTimeout());
    Duration refreshGap = Duration.ofNanos((long) (2e9 * nodes / limits.requestsPerSecond()));
    replica =
        new Replica(loop, state, rateLimiter, refreshGap, timings.stateStoreTimeout().dividedBy(2));
    standing = new StateStoreHealth(loop, replica, reachability, timings);
    election =
        new Election(
            loop,
            state,
            rateLimiter,
            replica,
            given.environment().random(),
            timings,
            settings.name(),
            given.processId(),
            reachability);
    recovery = operators.recovery().map(wanted -> newRecovery(wanted, given));
    recovery.ifPresent(standing::with);
    cloud =
        new CloudClient(
            observed(
                given.transport(),
                request -> true,
                CloudClient::isOutage,
                reachability.cloudLink()),
            settings.cloudAddress(),
            timings.cloudTimeout());
    workers = new WorkerClient(given.transport(), timings.workerTimeout());
    catalog = new MachineTypeCatalog(loop, cloud, replica, state, rateLimiter, election::isLeader);
    commits =
        new GroupCommit(
            loop,
            state,
            rateLimiter,
            limits.maxTransactionOperations(),
            4 * limits.maxTransactionOperations(),
            timings.stateStoreTimeout());
    api = newApi(given.transport());
  }

  private NodeApi newApi(Transport transport) {
    UserApi users =
        new UserApi(
            replica,
            commits,
            teams,
            catalog::types,
            clock,
            settings.stateStoreLimits().maxValueBytes(),
            operators.failureCap(),
            standing::isBehindPeers);
    NodeApi.Node answers = new Answers();
    Optional<RequestForwarder> forwarder =
        operators.partitions().forwardsRequests()
            ? Optional.of(new RequestForwarder(transport, answers::recentPeerHeartbeats))
            : Optional.empty();
    return new NodeApi(
        new NodeApi.Parts(answers, replica, users, standing, forwarder, recovery, meters),
        settings.name(),
        settings.peerNames());
  }

  private Reachability newReachability(Optional<VerdictRule> rule) {
    ReachabilityTimings times =
        new ReachabilityTimings(
            Durations.divide(timings.stateStoreLease(), HEARTBEATS_PER_LEASE),
            timings.lateAfter(),
            timings.heartbeatInterval(),
            timings.workerLeaseExpiry(),
            timings.stateStoreLease(),
            timings.authority(),
            timings.stateStoreTimeout(),
            operators.partitions().flapHalfLife());
    return new Reachability(
        settings.name(),
        settings.peerNames(),
        times,
        operators.partitions().dampsFlapping(),
        rule.orElse(new PartitionRule(times)));
  }

  private Transport observed(
      Transport transport,
      Predicate<Request> telling,
      Predicate<Reply> refusal,
      ObservedTransport.Observer observer) {
    return new ObservedTransport(loop, transport, telling, refusal, observer);
  }

  private RecoveryModule newRecovery(RecoverySettings wanted, Dependencies given) {
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
            this::leadership);
    return new RecoveryModule(
        new RecoveryModule.Dependencies(
            loop, state, rateLimiter, replica, election, given.environment().random(), clock),
        node,
        new RecoveryTimings(
            wanted.gatherDuration(),
            bootstrap,
            limits.maxValueBytes(),
            limits.maxTransactionOperations(),
            limits.writesPerSecond() * REBUILD_WRITES),
        given.snapshotTarget(),
        wanted.snapshotInterval());
  }

  @Override
  public void bindTo(MeterRegistry registry) {
    meters.bindTo(registry);
    Gauge.builder("cherryspool.leading", () -> leaderTerm == null ? 0 : 1).register(registry);
    Gauge.builder("cherryspool.term", replica::term).register(registry);
    Gauge.builder("cherryspool.jobs.active", () -> replica.activeJobs().size()).register(registry);
    Gauge.builder("cherryspool.jobs.accepted", replica::jobCount).register(registry);
    Gauge.builder(
            "cherryspool.machines", () -> leaderTerm == null ? 0 : leaderTerm.fleet().all().size())
        .register(registry);
    Gauge.builder(
            "cherryspool.machines.lost",
            () -> leaderTerm == null ? 0 : leaderTerm.fleetView().missing())
        .register(registry);
    new ReachabilityMeters(reachability, loop).bindTo(registry);
    Gauge.builder("cherryspool.changes.waiting", commits::queuedChanges).register(registry);
    Gauge.builder("cherryspool.changes.left", rateLimiter::availableWrites).register(registry);
    recovery.ifPresent(part -> part.bindTo(registry));
  }

  @Override
  public void start() {
    election.onLeadershipChange(this::leadership);
    replica.onChange(this::recordsChanged);
    recovery.ifPresent(RecoveryModule::start);
    replica.start();
    election.start();
    catalog.start();
    tick();
  }

  @Override
  public void stop() {
    if (leaderTerm != null) {
      leaderTerm.stop();
      leaderTerm = null;
    }
    if (timer != null) {
      timer.cancel();
    }
    recovery.ifPresent(RecoveryModule::stop);
    catalog.stop();
    election.stop();
    replica.stop();
  }

  /** Calls back once the records are first read. */
  public void onRecordsLoaded(Runnable listener) {
    replica.onFirstLoaded(listener);
  }

  /** Whether this node leads now and may act for the controllers. */
  public boolean isLeading() {
    return leaderTerm != null && election.mayCommandWorkers();
  }

  /** What this node does about its links. */
  public Verdict verdict() {
    return reachability.verdict();
  }

  /** Whether this node rebuilds lost records. */
  public boolean isRebuilding() {
    return recovery.map(RecoveryModule::isRebuilding).orElse(false);
  }

  /** Takes in a heartbeat from another node. */
  public void receive(Mesh.PeerHeartbeat heartbeat) {
    termShown(heartbeat.term());
    reachability.receive(heartbeat, loop.now());
  }

  private void termShown(long term) {
    election.observeTerm(term);
    recovery.ifPresent(part -> part.observeTerm(term));
  }

  private void tick() {
    timer =
        loop.schedule(
            Durations.divide(timings.stateStoreLease(), HEARTBEATS_PER_LEASE), this::tick);
    Duration now = loop.now();
    int writes = (int) Math.ceil(10 * rateLimiter.recentWritesPerSecond());
    mesh.broadcast(
        new Mesh.PeerHeartbeat(
            settings.name(),
            replica.term(),
            standing.isReachable(),
            standing.millisSinceLastRead(),
            reachability.redirectedWorkers().count(now),
            writes,
            recovery
                .map(RecoveryModule::retainedRecordsSummary)
                .orElse(Mesh.RetainedRecordsSummary.NONE),
            linkReport()));
    rateLimiter.setOtherNodesWriteRates(
        reachability.matrix().freshHeartbeats(timings.stateStoreLease(), now).stream()
            .mapToInt(Mesh.PeerHeartbeat::writeRateTenths)
            .toArray());
    judgeLinks(now);
  }

  /** What is done about this node's links rests on the verdict alone. */
  private void judgeLinks(Duration now) {
    FleetReachability fleet = leaderTerm == null ? FleetReachability.EMPTY : leaderTerm.fleetView();
    Verdict before = reachability.verdict();
    Verdict verdict = reachability.judge(now, leaderTerm != null, isLeading(), fleet);
    if (verdict instanceof Verdict.HandOverLeadership away) {
      election.handOverTo(away.successor());
    }
    if (verdict.equals(before)) {
      return;
    }
    LOG.info(
        "links: {}, since {}; {} of {} machines are missing",
        verdict.describe(),
        verdict.reason().text(),
        fleet.missing(),
        fleet.known());
    recordsChanged();
  }

  private LinkSummary linkReport() {
    return reachability.linkSummary(loop.now(), isLeading(), settings.clientAddress().toString());
  }

  private void recordsChanged() {
    if (leaderTerm != null) {
      leaderTerm.recordsChanged();
    }
  }

  private void leadership() {
    boolean leading = election.isLeader();
    if (leaderTerm != null && (!leading || leaderTerm.term() != replica.term())) {
      leaderTerm.stop();
      leaderTerm = null;
      rateLimiter.setLeader(false);
      reachability.recordLeadershipLoss(loop.now());
    }
    if (leaderTerm == null && leading) {
      rateLimiter.setLeader(true);
      leaderTerm = newLeaderTerm();
      leaderTerm.start();
    }
  }

  private LeaderTerm newLeaderTerm() {
    int maxChanges = settings.stateStoreLimits().maxTransactionOperations();
    RoundCommitter writer =
        new RoundCommitter(loop, state, rateLimiter, maxChanges, replica.termVersion());
    return new LeaderTerm(
        loop,
        replica,
        workers,
        cloud,
        writer,
        new SchedulingLoop.Limits(
            operators.roundMax(),
            timings.heartbeatInterval().multipliedBy(2).plusMillis(500),
            settings.workerLease().dividedBy(2),
            operators.beginWithin(),
            operators.failureCap(),
            maxChanges,
            settings.deadlineMultiples()),
        new LeaderTerm.ProvisioningLimits(
            settings.cloudRequestsPerSecond(), settings.cloudListLag(), operators.idleKeep()),
        new LeaderTerm.TermDependencies(
            new LeaderTerm.Authority(election::mayCommandWorkers, election::mayChangeFleet),
            teams,
            catalog::types,
            clock,
            new LeaderTerm.FleetPermissions(
                reachability::mayPlaceTasks,
                reachability::mayChangeFleet,
                reachability::isZoneEvictionSuspended,
                reachability.machineRule()),
            meters,
            operators.recovery().map(RecoverySettings::heldClasses).orElse(Set.of()),
            recovery.map(part -> part::reportUnrecordedStart)),
        timings,
        replica.term(),
        this::termShown);
  }

  @Override
  public CompletableFuture<Reply> handle(Request request) {
    return api.handle(request);
  }

  /** What the node's address is answered by. */
  private final class Answers implements NodeApi.Node {
    @Override
    public Optional<byte[]> answerHeartbeat(WorkerHeartbeat report) {
      if (!isLeading()) {
        return Optional.empty();
      }
      byte[] answer = leaderTerm.handleHeartbeat(report);
      // What a report shows may end the term.
      return leaderTerm == null ? Optional.empty() : Optional.of(answer);
    }

    @Override
    public void workerRedirected(WorkerHeartbeat report) {
      reachability.redirectedWorkers().recordVisit(report.machine(), report.zone(), loop.now());
    }

    @Override
    public List<Mesh.PeerHeartbeat> recentPeerHeartbeats() {
      return reachability.freshPeerHeartbeats(loop.now());
    }

    @Override
    public LinksApi.Observations links() {
      return new LinksApi.Observations(loop.now(), linkReport(), reachability.matrix());
    }

    @Override
    public String metricsText() {
      return metrics.get();
    }
  }
}
