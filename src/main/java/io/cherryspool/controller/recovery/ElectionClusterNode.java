package io.cherryspool.controller.recovery;

import io.cherryspool.controller.election.Election;
import io.cherryspool.lifecycle.EventLoop;
import io.cherryspool.mesh.Mesh;
import io.cherryspool.reachability.ReachabilityMatrix;
import io.cherryspool.recovery.ClusterNode;
import io.cherryspool.recovery.Peer;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;

/**
 * Provides the recovery with its view of the cluster, from this node's election and the other
 * nodes' heartbeats.
 */
public final class ElectionClusterNode implements ClusterNode {
  private final EventLoop loop;
  private final String name;
  private final int peerCount;
  private final Supplier<ReachabilityMatrix> peerHeartbeats;
  private final Duration maxHeartbeatAge;
  private final Election election;
  private final Runnable onServingChanged;
  private boolean hasWorkerReportedToken;

  /**
   * Creates the view.
   *
   * @param peerHeartbeats returns the latest heartbeats of the other nodes
   * @param maxHeartbeatAge how long a heartbeat counts after it was received
   * @param onServingChanged called when the records become reliable or cease to be
   */
  public ElectionClusterNode(
      EventLoop loop,
      String name,
      int peerCount,
      Supplier<ReachabilityMatrix> peerHeartbeats,
      Duration maxHeartbeatAge,
      Election election,
      Runnable onServingChanged) {
    this.loop = loop;
    this.name = name;
    this.peerCount = peerCount;
    this.peerHeartbeats = peerHeartbeats;
    this.maxHeartbeatAge = maxHeartbeatAge;
    this.election = election;
    this.onServingChanged = onServingChanged;
  }

  /** Records that a worker has sent a fencing token. */
  void observeWorkerFencingToken() {
    hasWorkerReportedToken = true;
  }

  @Override
  public String name() {
    return name;
  }

  @Override
  public List<Peer> peers() {
    List<Peer> result = new ArrayList<>();
    for (Mesh.PeerHeartbeat heartbeat :
        peerHeartbeats.get().freshHeartbeats(maxHeartbeatAge, loop.now())) {
      result.add(
          new Peer(
              heartbeat.node(),
              heartbeat.isStateStoreReachable(),
              RetainedRecordsCodec.decode(heartbeat.retainedRecords())));
    }
    return result;
  }

  @Override
  public int peerCount() {
    return peerCount;
  }

  @Override
  public long highestKnownTerm() {
    return election.highestKnownTerm();
  }

  @Override
  public boolean isSoleLeader() {
    return election.mayChangeFleet();
  }

  @Override
  public boolean hasWorkerReportedToken() {
    return hasWorkerReportedToken;
  }

  @Override
  public void onServingChanged() {
    onServingChanged.run();
  }
}
