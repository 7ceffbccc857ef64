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
 * How well this node reaches the state store, by itself and compared with the other nodes. Called
 * on the event loop only.
 */
public final class StateStoreHealth {
  private final EventLoop loop;
  private final ClusterRecords records;
  private final Reachability reachability;
  private final Timings timings;
  private final Optional<RecoveryModule> recovery;
  private final boolean hasPeers;

  /**
   * Creates the state store health.
   *
   * @param recovery empty on a node that doesn't look for lost records
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

  /** Whether the state store answered this node within the length of a lease. */
  public boolean isReachable() {
    Optional<Duration> lastAnswered = Optional.ofNullable(records.lastConfirmedAt());
    if (recovery.isPresent() && !recovery.get().isServing()) {
      // A node that rebuilds the records reads them by other requests.
      lastAnswered = recovery.get().lastAnsweredRequestSentAt();
    }
    return lastAnswered.isPresent()
        && loop.now().minus(lastAnswered.get()).compareTo(timings.stateStoreLease()) < 0;
  }

  /**
   * How long ago the last read that succeeded was sent, in ms; {@link Integer#MAX_VALUE} before the
   * first.
   */
  public int millisSinceLastRead() {
    Duration lastRead = records.lastConfirmedAt();
    return lastRead == null ? Integer.MAX_VALUE : (int) loop.now().minus(lastRead).toMillis();
  }

  /**
   * Whether another node has read the records well after this one last did: then the state store is
   * up, and users are better served there. In an outage all nodes last read at about the same time,
   * and none of them is behind.
   */
  public boolean isBehindPeers() {
    Duration ownRead = records.lastConfirmedAt();
    Optional<Duration> peersRead =
        reachability.matrix().latestStateStoreRead(timings.stateStoreLease(), loop.now());
    return ownRead == null
        || (peersRead.isPresent()
            && peersRead.get().minus(ownRead).compareTo(timings.staleReadLag()) > 0);
  }

  /** Whether the state store may not answer this node, so that another serves users better. */
  boolean mayBeUnreachable() {
    return records.isReadOverdue() || linkState() != LinkState.UP;
  }

  /** The state of the link to the state store, by the last requests. */
  LinkState linkState() {
    return reachability.stateStoreLink().state(loop.now());
  }

  /**
   * Whether users can be served here: the records are loaded and the state store is reachable.
   * While the state store answers no node, being passed over by the load balancer helps nobody, so
   * that a node whose peers report the same stays ready; one without heartbeats of its peers is
   * more likely cut off itself.
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
