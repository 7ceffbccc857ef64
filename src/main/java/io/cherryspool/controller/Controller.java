package io.cherryspool.controller;

import io.cherryspool.config.OperatorSettings;
import io.cherryspool.config.Settings;
import io.cherryspool.controller.api.NodeApi;
import io.cherryspool.controller.election.Election;
import io.cherryspool.controller.provisioning.MachineTypeCatalog;
import io.cherryspool.controller.recovery.RecoveryModule;
import io.cherryspool.controller.recovery.SnapshotTarget;
import io.cherryspool.http.Reply;
import io.cherryspool.http.Request;
import io.cherryspool.http.RequestHandler;
import io.cherryspool.http.Transport;
import io.cherryspool.lifecycle.EventLoop;
import io.cherryspool.lifecycle.Lifecycle;
import io.cherryspool.mesh.Mesh;
import io.cherryspool.model.Durations;
import io.cherryspool.reachability.FleetReachability;
import io.cherryspool.reachability.Reachability;
import io.cherryspool.reachability.Verdict;
import io.cherryspool.reachability.VerdictRule;
import io.cherryspool.store.RateLimiter;
import io.cherryspool.store.Replica;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.binder.MeterBinder;
import java.time.Duration;
import java.time.InstantSource;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One controller node: answers requests, takes part in elections, and leads while it is elected.
 * The caller provides sockets, clocks and random numbers. All methods are called on the event loop,
 * except the constructor and {@link #bindTo}.
 */
public final class Controller implements Lifecycle, RequestHandler, MeterBinder {
  private static final Logger LOG = LoggerFactory.getLogger(Controller.class);

  private final EventLoop loop;
  private final Mesh mesh;
  private final ControllerModule module;
  private final Reachability reachability;
  private final Replica records;
  private final RateLimiter rateLimiter;
  private final Election election;
  private final Optional<RecoveryModule> recovery;
  private final MachineTypeCatalog catalog;
  private final LeaderTerms terms;
  private final NodeApi api;
  private final Duration stateStoreLease;
  private EventLoop.Timer timer;

  /**
   * A node's sources of time and random numbers, which the simulation replaces.
   *
   * @param loop the event loop on which the whole node runs, with the node's monotonic clock
   * @param clock the wall clock, which may jump backwards
   */
  public record Environment(EventLoop loop, InstantSource clock, RandomGenerator random) {}

  /**
   * The dependencies of a node on its surroundings.
   *
   * @param processId the id of the process, different for each process of the node
   * @param metricsText returns the node's metrics in the Prometheus text format
   * @param snapshotTarget where snapshots are written; empty if none are taken
   * @param verdictRule determines the verdict on the node's links; empty for {@link
   *     io.cherryspool.reachability.PartitionRule}
   */
  public record Dependencies(
      Environment environment,
      Transport transport,
      Mesh mesh,
      String processId,
      Supplier<String> metricsText,
      Optional<SnapshotTarget> snapshotTarget,
      Optional<VerdictRule> verdictRule) {}

  /** Creates a node that does nothing before {@link #start}. */
  public Controller(Settings settings, OperatorSettings operators, Dependencies dependencies) {
    loop = dependencies.environment().loop();
    mesh = dependencies.mesh();
    module = new ControllerModule(settings, operators, dependencies);
    reachability = module.reachability();
    records = module.stateStore().records();
    rateLimiter = module.stateStore().rateLimiter();
    election = module.election();
    recovery = module.recovery();
    catalog = module.catalog();
    terms = module.terms();
    api = module.api();
    stateStoreLease = module.timings().stateStoreLease();
  }

  @Override
  public void bindTo(MeterRegistry registry) {
    module.bindTo(registry);
  }

  @Override
  public void start() {
    election.onLeadershipChange(terms::update);
    records.onChange(terms::onRecordsChanged);
    recovery.ifPresent(RecoveryModule::start);
    records.start();
    election.start();
    catalog.start();
    tick();
  }

  @Override
  public void stop() {
    terms.stop();
    if (timer != null) {
      timer.cancel();
    }
    recovery.ifPresent(RecoveryModule::stop);
    catalog.stop();
    election.stop();
    records.stop();
  }

  /** Sets the listener that is called when the records have been loaded for the first time. */
  public void onRecordsLoaded(Runnable listener) {
    records.onFirstLoaded(listener);
  }

  /** Whether this node leads now and may command workers. */
  public boolean isLeading() {
    return terms.isLeading();
  }

  /** The latest verdict on this node's links. */
  public Verdict verdict() {
    return reachability.verdict();
  }

  /** Whether this node is rebuilding lost records. */
  public boolean isRebuilding() {
    return recovery.map(RecoveryModule::isRebuilding).orElse(false);
  }

  /** Records a heartbeat of another node. */
  public void receivePeerHeartbeat(Mesh.PeerHeartbeat heartbeat) {
    terms.observeTerm(heartbeat.term());
    reachability.receivePeerHeartbeat(heartbeat, loop.now());
  }

  @Override
  public CompletableFuture<Reply> handle(Request request) {
    return api.handle(request);
  }

  private void tick() {
    Duration interval = Durations.divide(stateStoreLease, ControllerModule.HEARTBEATS_PER_LEASE);
    timer = loop.schedule(interval, this::tick);
    Duration now = loop.now();
    mesh.broadcast(module.heartbeatFactory().create(now));
    rateLimiter.setOtherNodesWriteRates(
        reachability.matrix().freshHeartbeats(stateStoreLease, now).stream()
            .mapToInt(Mesh.PeerHeartbeat::writeRateTenths)
            .toArray());
    evaluateLinks(now);
  }

  /**
   * Determines the verdict on this node's links. Everything that the node does about its links
   * follows from the verdict.
   */
  private void evaluateLinks(Duration now) {
    FleetReachability fleet = terms.fleetReachability();
    Verdict previous = reachability.verdict();
    Verdict verdict = reachability.evaluate(now, terms.isTermActive(), isLeading(), fleet);
    if (verdict instanceof Verdict.HandOverLeadership handover) {
      election.handOverTo(handover.successor());
    }
    if (verdict.equals(previous)) {
      return;
    }
    LOG.info(
        "links: {}, since {}; {} of {} machines are missing",
        verdict.describe(),
        verdict.reason().text(),
        fleet.missingMachines(),
        fleet.knownMachines());
    terms.onRecordsChanged();
  }
}
