package io.cherryspool.reachability;

import io.cherryspool.mesh.Mesh;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * Who hears whom, as the nodes' latest heartbeats tell it, each with the moment at which it came.
 * It is never changed: a new heartbeat makes a new matrix that shares what is left of the old one.
 * Nothing in it is proof of anything.
 */
public final class ReachabilityMatrix {
  /** Before any heartbeat. */
  public static final ReachabilityMatrix EMPTY = new ReachabilityMatrix(HashTreePMap.empty());

  private final PMap<String, Row> rows;

  /** A node's latest heartbeat, and when it came. */
  public record Row(Mesh.PeerHeartbeat heartbeat, Duration receivedAt) {}

  private ReachabilityMatrix(PMap<String, Row> rows) {
    this.rows = rows;
  }

  /** The matrix with this heartbeat in the place of its node's last one. */
  public ReachabilityMatrix withHeartbeat(Mesh.PeerHeartbeat heartbeat, Duration now) {
    return new ReachabilityMatrix(rows.plus(heartbeat.node(), new Row(heartbeat, now)));
  }

  /** Whether a heartbeat of any node ever arrived. */
  public boolean hasReceivedAny() {
    return !rows.isEmpty();
  }

  /** What the node last told, if it ever did. */
  public Optional<Row> row(String node) {
    return Optional.ofNullable(rows.get(node));
  }

  /** The heartbeats received no longer ago than this. */
  public List<Mesh.PeerHeartbeat> freshHeartbeats(Duration limit, Duration now) {
    List<Mesh.PeerHeartbeat> result = new ArrayList<>();
    for (Row row : rows.values()) {
      if (now.minus(row.receivedAt).compareTo(limit) < 0) {
        result.add(row.heartbeat);
      }
    }
    return result;
  }

  /**
   * When the latest reading of the state was sent by any of them, as far as their heartbeats are
   * fresh; empty if none tells of one.
   */
  public Optional<Duration> latestStateRead(Duration limit, Duration now) {
    Duration last = null;
    for (Row row : rows.values()) {
      boolean fresh =
          now.minus(row.receivedAt).compareTo(limit) < 0 && row.heartbeat.isStateStoreReachable();
      Duration at = row.receivedAt.minusMillis(row.heartbeat.stateReadAgeMillis());
      last = fresh && (last == null || at.compareTo(last) > 0) ? at : last;
    }
    return Optional.ofNullable(last);
  }
}
