package io.cherryspool.reachability;

import io.cherryspool.mesh.Mesh;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * The latest heartbeat of each other node, which contains the state of that node's links, and the
 * time at which it was received. Immutable: adding a heartbeat creates a new matrix, which shares
 * the heartbeats of the other nodes with the old one. The contents are hints only, not proof. All
 * times are of the receiving node's monotonic clock.
 */
public final class ReachabilityMatrix {
  /** The matrix before any heartbeat was received. */
  public static final ReachabilityMatrix EMPTY = new ReachabilityMatrix(HashTreePMap.empty());

  private final PMap<String, ReceivedHeartbeat> heartbeatsByNode;

  /** The latest heartbeat of a node, and the time at which it was received. */
  public record ReceivedHeartbeat(Mesh.PeerHeartbeat heartbeat, Duration receivedAt) {
    /** Whether the heartbeat was received less than this time ago. */
    boolean isFresh(Duration maxAge, Duration now) {
      return now.minus(receivedAt).compareTo(maxAge) < 0;
    }
  }

  private ReachabilityMatrix(PMap<String, ReceivedHeartbeat> heartbeatsByNode) {
    this.heartbeatsByNode = heartbeatsByNode;
  }

  /** Returns a matrix in which this heartbeat replaces the previous one of its node. */
  public ReachabilityMatrix withHeartbeat(Mesh.PeerHeartbeat heartbeat, Duration now) {
    return new ReachabilityMatrix(
        heartbeatsByNode.plus(heartbeat.node(), new ReceivedHeartbeat(heartbeat, now)));
  }

  /** Whether a heartbeat of any other node was ever received. */
  public boolean hasReceivedAny() {
    return !heartbeatsByNode.isEmpty();
  }

  /** Returns the latest heartbeat of the node; empty if none was received. */
  public Optional<ReceivedHeartbeat> latestHeartbeat(String node) {
    return Optional.ofNullable(heartbeatsByNode.get(node));
  }

  /** Returns the heartbeats that were received less than this time ago, in no particular order. */
  public List<Mesh.PeerHeartbeat> freshHeartbeats(Duration maxAge, Duration now) {
    List<Mesh.PeerHeartbeat> result = new ArrayList<>();
    for (ReceivedHeartbeat received : heartbeatsByNode.values()) {
      if (received.isFresh(maxAge, now)) {
        result.add(received.heartbeat);
      }
    }
    return result;
  }

  /**
   * Returns when any of the other nodes sent its latest successful read of the state store,
   * according to heartbeats that were received less than this time ago; empty if none of them
   * reports one.
   */
  public Optional<Duration> latestStateStoreRead(Duration maxAge, Duration now) {
    Duration latest = null;
    for (ReceivedHeartbeat received : heartbeatsByNode.values()) {
      if (received.isFresh(maxAge, now) && received.heartbeat.isStateStoreReachable()) {
        Duration sentAt =
            received.receivedAt.minusMillis(received.heartbeat.stateStoreReadAgeMillis());
        latest = latest == null || sentAt.compareTo(latest) > 0 ? sentAt : latest;
      }
    }
    return Optional.ofNullable(latest);
  }
}
