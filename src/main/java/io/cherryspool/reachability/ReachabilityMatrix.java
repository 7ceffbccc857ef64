package io.cherryspool.reachability;

import io.cherryspool.mesh.Mesh;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * Which nodes reach which, as their latest heartbeats tell it, each with the time at which it was
 * received. Immutable: a new heartbeat makes a new matrix that shares what is left of the old one.
 * Nothing in it proves anything. Times are of the receiving node's monotonic clock.
 */
public final class ReachabilityMatrix {
  /** Before any heartbeat. */
  public static final ReachabilityMatrix EMPTY = new ReachabilityMatrix(HashTreePMap.empty());

  private final PMap<String, Row> rows;

  /** A node's latest heartbeat, and when it was received. */
  public record Row(Mesh.PeerHeartbeat heartbeat, Duration receivedAt) {
    /** Whether it was received less than this time ago. */
    boolean isFresh(Duration maxAge, Duration now) {
      return now.minus(receivedAt).compareTo(maxAge) < 0;
    }
  }

  private ReachabilityMatrix(PMap<String, Row> rows) {
    this.rows = rows;
  }

  /** The matrix with this heartbeat in the place of its node's last one. */
  public ReachabilityMatrix withHeartbeat(Mesh.PeerHeartbeat heartbeat, Duration now) {
    return new ReachabilityMatrix(rows.plus(heartbeat.node(), new Row(heartbeat, now)));
  }

  /** Whether a heartbeat of any node was ever received. */
  public boolean hasReceivedAny() {
    return !rows.isEmpty();
  }

  /** The latest heartbeat of the node; empty if none was received. */
  public Optional<Row> row(String node) {
    return Optional.ofNullable(rows.get(node));
  }

  /** The heartbeats that were received less than this time ago, in no order. */
  public List<Mesh.PeerHeartbeat> freshHeartbeats(Duration maxAge, Duration now) {
    List<Mesh.PeerHeartbeat> result = new ArrayList<>();
    for (Row row : rows.values()) {
      if (row.isFresh(maxAge, now)) {
        result.add(row.heartbeat);
      }
    }
    return result;
  }

  /**
   * When any of the nodes sent its latest read of the state store that succeeded, as far as fresh
   * heartbeats tell; empty if none tells of one.
   */
  public Optional<Duration> latestStateStoreRead(Duration maxAge, Duration now) {
    Duration latest = null;
    for (Row row : rows.values()) {
      if (row.isFresh(maxAge, now) && row.heartbeat.isStateStoreReachable()) {
        Duration sentAt = row.receivedAt.minusMillis(row.heartbeat.stateStoreReadAgeMillis());
        latest = latest == null || sentAt.compareTo(latest) > 0 ? sentAt : latest;
      }
    }
    return Optional.ofNullable(latest);
  }
}
