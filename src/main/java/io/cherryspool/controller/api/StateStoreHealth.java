package io.cherryspool.controller.api;

import io.cherryspool.controller.recovery.RecoveryModule;
import io.cherryspool.controller.timing.Timings;
import io.cherryspool.lifecycle.EventLoop;
import io.cherryspool.mesh.LinkState;
import io.cherryspool.mesh.Mesh;
import io.cherryspool.reachability.Reachability;
import io.cherryspool.store.ClusterRecords;
import java.time.Duration;
import java.util.List;
import java.util.Optional;

/**
 * Determines whether this node reaches the state store, and whether other nodes have read it more
 * recently. Called on the event loop only.
 */
public final class StateStoreHealth {
  private final EventLoop loop;
  private final ClusterRecords records;
  private final Reachability reachability;
  private final Timings timings;
  private final Optional<RecoveryModule> recovery;
  private final boolean hasPeers;

  /**
   * Creates the health check.
   *
   * @param recovery rebuilds lost records; empty on a node that doesn't detect them
   * @param hasPeers whether there are other nodes
   */
  public StateStoreHealth(
      EventLoop loop,
      ClusterRecords records,
      Reachability reachability,
      Timings timings,
      Optional<RecoveryModule> recovery,
      boolean hasPeers) {
    this.loop = loop;
    this.records = records;
    this.reachability = reachability;
    this.timings = timings;
    this.recovery = recovery;
    this.hasPeers = hasPeers;
  }

  /**
   * Whether the state store has answered a request that this node sent within the last length of a
   * lease.
   */
  public boolean isReachable() {
    Optional<Duration> lastAnswered = Optional.ofNullable(records.lastConfirmedAt());
    if (recovery.isPresent() && !recovery.get().isServing()) {
      // While the records are being rebuilt, a node that does not serve them reads the identity
      // record instead.
      lastAnswered = recovery.get().lastAnsweredRequestSentAt();
    }
    return lastAnswered.isPresent()
        && loop.now().minus(lastAnswered.get()).compareTo(timings.stateStoreLease()) < 0;
  }

  /**
   * Returns how long ago the last successful read was sent, in ms; {@link Integer#MAX_VALUE} if
   * there was none yet.
   */
  public int millisSinceLastRead() {
    Duration lastRead = records.lastConfirmedAt();
    return lastRead == null ? Integer.MAX_VALUE : (int) loop.now().minus(lastRead).toMillis();
  }

  /**
   * Whether another node has read the records well after this node last did. If so, the state store
   * is up, and other nodes serve users better. In an outage the last reads of all nodes are about
   * equally old, so that no node is behind.
   */
  public boolean isBehindPeers() {
    Duration ownRead = records.lastConfirmedAt();
    Optional<Duration> peersRead =
        reachability.matrix().latestStateStoreRead(timings.stateStoreLease(), loop.now());
    return ownRead == null
        || (peersRead.isPresent()
            && peersRead.get().minus(ownRead).compareTo(timings.staleReadLag()) > 0);
  }

  /**
   * Whether this node possibly can't reach the state store, so that another node may serve users
   * better.
   */
  boolean mayBeUnreachable() {
    return records.isReadOverdue() || linkState() != LinkState.UP;
  }

  /** Returns the state of this node's link to the state store, according to its recent requests. */
  LinkState linkState() {
    return reachability.stateStoreLink().state(loop.now());
  }

  /**
   * Whether this node is ready to serve users: the records are loaded, and the state store is
   * reachable. If the state store answers no node, it helps no user if the load balancer avoids
   * this node. A node that doesn't reach the state store therefore remains ready if none of its
   * peers reaches it either. It does not remain ready if it receives no heartbeats from its peers,
   * because it is then more likely to be cut off itself.
   */
  boolean isReady() {
    List<Mesh.PeerHeartbeat> others =
        reachability.matrix().freshHeartbeats(timings.stateStoreLease(), loop.now());
    boolean isOutage =
        others.stream().noneMatch(Mesh.PeerHeartbeat::isStateStoreReachable)
            && (!others.isEmpty() || !hasPeers);
    return areRecordsLoadedOrServedNowhere() && (isReachable() || isOutage) && !isBehindPeers();
  }

  private boolean areRecordsLoadedOrServedNowhere() {
    return records.isLoaded() || recovery.map(RecoveryModule::hasNoServingNode).orElse(false);
  }
}
