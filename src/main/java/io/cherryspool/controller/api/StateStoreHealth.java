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

/** How this node stands with the state service, by itself and next to the other nodes. */
public final class StateStoreHealth {
  private final EventLoop loop;
  private final ClusterRecords replica;
  private final Reachability reachability;
  private final Timings timings;
  private Optional<RecoveryModule> recovery = Optional.empty();

  public StateStoreHealth(
      EventLoop loop, ClusterRecords replica, Reachability reachability, Timings timings) {
    this.loop = loop;
    this.replica = replica;
    this.reachability = reachability;
    this.timings = timings;
  }

  /** From now on readings of a node that rebuilds its records count as well. */
  public void with(RecoveryModule part) {
    recovery = Optional.of(part);
  }

  /** Whether the service answered this node within a state lease. */
  public boolean isReachable() {
    Duration confirmed = replica.lastConfirmedAt();
    if (recovery.isPresent() && !recovery.get().isServing()) {
      confirmed = recovery.get().lastAnsweredRequestSentAt();
    }
    return confirmed != null
        && loop.now().minus(confirmed).compareTo(timings.stateStoreLease()) < 0;
  }

  /** How long ago the last reading that succeeded was sent, in ms. */
  public int millisSinceLastRead() {
    Duration read = replica.lastConfirmedAt();
    return read == null ? Integer.MAX_VALUE : (int) loop.now().minus(read).toMillis();
  }

  /**
   * Whether another node has read the state well after this one last did: then the service is up,
   * and users are better served there. In an outage all last read at about the same time, and none
   * of them must say so of itself.
   */
  public boolean isBehindPeers() {
    Duration own = replica.lastConfirmedAt();
    Duration others =
        reachability.matrix().latestStateRead(timings.stateStoreLease(), loop.now()).orElse(null);
    return own == null || others != null && others.minus(own).compareTo(timings.staleReadLag()) > 0;
  }

  /** Whether the service may not answer this node, so that another is the better one. */
  boolean mayBeUnreachable() {
    return replica.isReadOverdue() || linkState() != LinkState.UP;
  }

  /** The link to the service, by the last requests. */
  LinkState linkState() {
    return reachability.stateLink().state(loop.now());
  }

  /**
   * Whether users can be served here: the state is held and reached. While the service is silent
   * for everybody, being passed over helps nobody, so that a node that hears others say the same
   * stays ready; one that hears nobody is rather cut off itself.
   *
   * @param alone whether there is no other node
   */
  boolean isReady(boolean alone) {
    List<Mesh.PeerHeartbeat> others =
        reachability.matrix().freshHeartbeats(timings.stateStoreLease(), loop.now());
    boolean outage =
        others.stream().noneMatch(Mesh.PeerHeartbeat::isStateStoreReachable)
            && (!others.isEmpty() || alone);
    return readable() && (isReachable() || outage) && !isBehindPeers();
  }

  /** Whether the records can be read here, or can be read nowhere. */
  private boolean readable() {
    return replica.isLoaded() || recovery.map(RecoveryModule::hasNoServingNode).orElse(false);
  }
}
