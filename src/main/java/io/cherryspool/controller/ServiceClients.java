package io.cherryspool.controller;

import io.cherryspool.cloud.CloudClient;
import io.cherryspool.config.PartitionSettings;
import io.cherryspool.config.Settings;
import io.cherryspool.controller.election.StateStoreAccess;
import io.cherryspool.controller.timing.Timings;
import io.cherryspool.http.ObservedTransport;
import io.cherryspool.http.Reply;
import io.cherryspool.http.Request;
import io.cherryspool.http.Transport;
import io.cherryspool.lifecycle.EventLoop;
import io.cherryspool.model.Durations;
import io.cherryspool.reachability.PartitionRule;
import io.cherryspool.reachability.Reachability;
import io.cherryspool.reachability.ReachabilityTimings;
import io.cherryspool.reachability.VerdictRule;
import io.cherryspool.store.RateLimiter;
import io.cherryspool.store.Replica;
import io.cherryspool.store.StateStoreClient;
import io.cherryspool.wire.StateStoreProtocol;
import io.cherryspool.worker.WorkerClient;
import java.time.Duration;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * Creates the node's clients for the state store, the cloud and the workers. The outcomes of
 * requests to the state store and the cloud are reported to {@link Reachability}.
 */
final class ServiceClients {
  private static final int HTTP_UNAVAILABLE = 503;

  private final EventLoop loop;
  private final Transport transport;
  private final Reachability reachability;
  private final StateStoreAccess stateStore;
  private final CloudClient cloud;
  private final WorkerClient workers;

  ServiceClients(
      Settings settings,
      PartitionSettings partitions,
      Timings timings,
      Controller.Dependencies dependencies) {
    loop = dependencies.environment().loop();
    transport = dependencies.transport();
    reachability = newReachability(settings, partitions, timings, dependencies.verdictRule());
    stateStore = newStateStoreAccess(settings, timings);
    cloud =
        new CloudClient(
            newObservedTransport(request -> true, CloudClient::isOutage, reachability.cloudLink()),
            settings.cloudAddress(),
            timings.cloudTimeout());
    workers = new WorkerClient(transport, timings.workerTimeout());
  }

  private static Reachability newReachability(
      Settings settings,
      PartitionSettings partitions,
      Timings timings,
      Optional<VerdictRule> rule) {
    ReachabilityTimings reachabilityTimings =
        new ReachabilityTimings(
            Durations.divide(timings.stateStoreLease(), ControllerModule.HEARTBEATS_PER_LEASE),
            timings.heartbeatLateAfter(),
            timings.heartbeatInterval(),
            timings.workerLeaseExpiry(),
            timings.stateStoreLease(),
            timings.maxLeaderAuthority(),
            timings.stateStoreTimeout(),
            partitions.flapHalfLife());
    return new Reachability(
        settings.name(),
        settings.peerNames(),
        reachabilityTimings,
        partitions.dampsFlapping(),
        rule.orElse(new PartitionRule(reachabilityTimings)));
  }

  private StateStoreAccess newStateStoreAccess(Settings settings, Timings timings) {
    Settings.StateStoreLimits limits = settings.stateStoreLimits();
    int nodes = settings.peers().size() + 1;
    RateLimiter rateLimiter =
        new RateLimiter(loop, nodes, limits.requestsPerSecond(), limits.writesPerSecond());
    StateStoreClient client =
        new StateStoreClient(
            loop,
            rateLimiter,
            newObservedTransport(
                request -> !StateStoreProtocol.isWatch(request),
                reply -> reply.status() == HTTP_UNAVAILABLE,
                reachability.stateStoreLink()),
            settings.stateStoreAddress(),
            timings.stateStoreTimeout());
    Duration refreshGap = Duration.ofNanos((long) (2e9 * nodes / limits.requestsPerSecond()));
    Replica records =
        new Replica(
            loop, client, rateLimiter, refreshGap, timings.stateStoreTimeout().dividedBy(2));
    return new StateStoreAccess(client, rateLimiter, records);
  }

  /** Creates a transport that reports the outcomes of its requests to the observer of a link. */
  private Transport newObservedTransport(
      Predicate<Request> isSignificant,
      Predicate<Reply> isRefusal,
      ObservedTransport.Observer observer) {
    return new ObservedTransport(loop, transport, isSignificant, isRefusal, observer);
  }

  Reachability reachability() {
    return reachability;
  }

  StateStoreAccess stateStore() {
    return stateStore;
  }

  CloudClient cloud() {
    return cloud;
  }

  WorkerClient workers() {
    return workers;
  }
}
