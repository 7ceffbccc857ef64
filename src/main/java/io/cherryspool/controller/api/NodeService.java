package io.cherryspool.controller.api;

import io.cherryspool.mesh.Mesh;
import io.cherryspool.model.WorkerHeartbeat;
import java.util.List;
import java.util.Optional;

/**
 * The operations of a node that the handlers of its HTTP requests need. Called on the event loop
 * only.
 */
public interface NodeService {
  /** Returns the answer to a worker's heartbeat; empty if this node may not act as the leader. */
  Optional<byte[]> answerHeartbeat(WorkerHeartbeat heartbeat);

  /** Records that the sender of this heartbeat was redirected to the node that leads. */
  void recordRedirectedWorker(WorkerHeartbeat heartbeat);

  /**
   * Returns the latest heartbeats of the other nodes that count as reachable, because they have
   * sent one recently.
   */
  List<Mesh.PeerHeartbeat> recentPeerHeartbeats();

  /** Returns the observations that this node and the other nodes have made of their links. */
  LinksApi.Observations linkObservations();

  /** Returns the node's metrics in the Prometheus text format. */
  String metricsText();
}
