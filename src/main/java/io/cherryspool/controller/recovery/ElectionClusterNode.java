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

/** What the recovery learns of its node and the others. */
public final class ElectionClusterNode implements ClusterNode {
  private final EventLoop loop;
  private final String name;
  private final int peerCount;
  private final Supplier<ReachabilityMatrix> peers;
  private final Duration fresh;
  private final Election election;
  private final Runnable servingChanged;
  private boolean workersRemember;

  /**
   * @param fresh how long a heartbeat tells how its node is
   * @param servingChanged called when the records can be relied on again, or no more
   */
  public ElectionClusterNode(
      EventLoop loop,
      String name,
      int peerCount,
      Supplier<ReachabilityMatrix> peers,
      Duration fresh,
      Election election,
      Runnable servingChanged) {
    this.loop = loop;
    this.name = name;
    this.peerCount = peerCount;
    this.peers = peers;
    this.fresh = fresh;
    this.election = election;
    this.servingChanged = servingChanged;
  }

  /** A worker has shown a token. */
  void observeWorkerToken() {
    workersRemember = true;
  }

  @Override
  public String name() {
    return name;
  }

  @Override
  public List<Peer> peers() {
    List<Peer> result = new ArrayList<>();
    for (Mesh.PeerHeartbeat heartbeat : peers.get().freshHeartbeats(fresh, loop.now())) {
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
  public boolean hasWorkerShownToken() {
    return workersRemember;
  }

  @Override
  public void onServingChanged() {
    servingChanged.run();
  }
}
