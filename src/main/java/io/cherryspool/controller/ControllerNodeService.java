package io.cherryspool.controller;

import io.cherryspool.controller.api.LinksApi;
import io.cherryspool.controller.api.NodeService;
import io.cherryspool.lifecycle.EventLoop;
import io.cherryspool.mesh.Mesh;
import io.cherryspool.model.WorkerHeartbeat;
import io.cherryspool.reachability.Reachability;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;

/** Implements {@link NodeService} on the components of this node. */
final class ControllerNodeService implements NodeService {
  private final EventLoop loop;
  private final LeaderTerms terms;
  private final Reachability reachability;
  private final PeerHeartbeatFactory heartbeatFactory;
  private final Supplier<String> metricsText;

  ControllerNodeService(
      EventLoop loop,
      LeaderTerms terms,
      Reachability reachability,
      PeerHeartbeatFactory heartbeatFactory,
      Supplier<String> metricsText) {
    this.loop = loop;
    this.terms = terms;
    this.reachability = reachability;
    this.heartbeatFactory = heartbeatFactory;
    this.metricsText = metricsText;
  }

  @Override
  public Optional<byte[]> answerHeartbeat(WorkerHeartbeat heartbeat) {
    return terms.answerHeartbeat(heartbeat);
  }

  @Override
  public void recordRedirectedWorker(WorkerHeartbeat heartbeat) {
    reachability
        .redirectedWorkers()
        .recordRedirect(heartbeat.machine(), heartbeat.zone(), loop.now());
  }

  @Override
  public List<Mesh.PeerHeartbeat> recentPeerHeartbeats() {
    return reachability.freshPeerHeartbeats(loop.now());
  }

  @Override
  public LinksApi.Observations linkObservations() {
    Duration now = loop.now();
    return new LinksApi.Observations(now, heartbeatFactory.linkSummary(now), reachability.matrix());
  }

  @Override
  public String metricsText() {
    return metricsText.get();
  }
}
