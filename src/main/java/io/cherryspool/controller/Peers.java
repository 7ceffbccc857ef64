package io.cherryspool.controller;

import io.cherryspool.mesh.Mesh;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The other nodes' latest heartbeats, and when they came. Nothing here is proof of anything. */
final class Peers {
  private final Map<String, Received> heartbeats = new HashMap<>();

  private record Received(Mesh.Heartbeat heartbeat, Duration at) {}

  void receive(Mesh.Heartbeat heartbeat, Duration now) {
    heartbeats.put(heartbeat.node(), new Received(heartbeat, now));
  }

  /** Whether a heartbeat of any node ever arrived. */
  boolean known() {
    return !heartbeats.isEmpty();
  }

  /**
   * When the latest reading of the state was sent by any of them, as far as their heartbeats are
   * fresh.
   */
  Duration lastReading(Duration limit, Duration now) {
    Duration last = null;
    for (Received received : heartbeats.values()) {
      Duration at = received.at.minusMillis(received.heartbeat.silence());
      boolean fresh = now.minus(received.at).compareTo(limit) < 0 && received.heartbeat.state();
      last = fresh && (last == null || at.compareTo(last) > 0) ? at : last;
    }
    return last;
  }

  /** The heartbeats received no longer ago than this. */
  List<Mesh.Heartbeat> since(Duration limit, Duration now) {
    List<Mesh.Heartbeat> result = new ArrayList<>();
    for (Received received : heartbeats.values()) {
      if (now.minus(received.at).compareTo(limit) < 0) {
        result.add(received.heartbeat);
      }
    }
    return result;
  }
}
