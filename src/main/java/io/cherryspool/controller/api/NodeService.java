package io.cherryspool.controller.api;

import io.cherryspool.mesh.Mesh;
import io.cherryspool.model.WorkerHeartbeat;
import java.util.List;
import java.util.Optional;

/** What a node does for the handlers of its HTTP requests. Called on the event loop only. */
public interface NodeService {
  /** The answer to a worker's heartbeat; empty if this node may not act as the leader. */
  Optional<byte[]> answerHeartbeat(WorkerHeartbeat heartbeat);

  /** A worker was redirected to the node that leads. */
  void recordRedirectedWorker(WorkerHeartbeat heartbeat);

  /** The latest heartbeats of the other nodes, without those that are too old to count. */
  List<Mesh.PeerHeartbeat> recentPeerHeartbeats();

  /** What this node and the others have observed of their links. */
  LinksApi.Observations linkObservations();

  /** The node's metrics in the Prometheus text format. */
  String metricsText();
}
