package io.cherryspool.controller.api;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.cherryspool.http.Reply;
import io.cherryspool.mesh.LinkState;
import io.cherryspool.mesh.LinkSummary;
import io.cherryspool.mesh.Mesh;
import io.cherryspool.reachability.ReachabilityMatrix;
import io.cherryspool.wire.Json;
import java.time.Duration;
import java.util.List;
import java.util.Locale;
import java.util.Optional;

/** What operators ask about links: how each node hears the others, as this node knows it. */
public final class LinksApi {
  static final String PATH = "/links";

  private final String node;
  private final List<String> peers;

  /** What this node tells of itself, and what the others last told. */
  public record Observations(Duration now, LinkSummary own, ReachabilityMatrix matrix) {}

  LinksApi(String node, List<String> peers) {
    this.node = node;
    this.peers = peers;
  }

  Reply answer(Observations picture) {
    ObjectNode root = Json.object().put("node", node);
    ArrayNode nodes = root.putArray("nodes");
    boolean up = describe(nodes.addObject(), node, 0, picture.own());
    for (String peer : peers) {
      Optional<ReachabilityMatrix.Row> row = picture.matrix().row(peer);
      if (row.isEmpty()) {
        nodes.addObject().put("node", peer).put("heard_ms", -1);
        up = false;
        continue;
      }
      Mesh.PeerHeartbeat heartbeat = row.get().heartbeat();
      long age = picture.now().minus(row.get().receivedAt()).toMillis();
      up &= describe(nodes.addObject(), peer, age, heartbeat.links());
    }
    root.put("all_up", up);
    return Reply.json(200, Json.toBytes(root));
  }

  /** Whether all the links that the node tells of are up. */
  private static boolean describe(ObjectNode target, String name, long age, LinkSummary report) {
    target.put("node", name).put("heard_ms", age).put("address", report.address());
    target.put("leading", report.isLeading()).put("doubtful", report.wasStalled());
    target.put("verdict", report.verdict());
    target.put("leadership_penalty", report.leadershipPenalty() / 10.0);
    target.put("state", name(report.stateStore())).put("cloud", name(report.cloud()));
    boolean up = report.stateStore() == LinkState.UP && report.cloud() == LinkState.UP;
    ArrayNode heard = target.putArray("peers");
    for (LinkSummary.PeerLink peer : report.peers()) {
      heard
          .addObject()
          .put("node", peer.node())
          .put("link", name(peer.state()))
          .put("heard_ms", peer.heartbeatAgeMillis());
      up &= peer.state() == LinkState.UP;
    }
    ArrayNode zones = target.putArray("zones");
    for (LinkSummary.ZoneLink zone : report.zones()) {
      zones
          .addObject()
          .put("zone", zone.zone())
          .put("link", name(zone.state()))
          .put("machines", zone.knownMachines())
          .put("missing", zone.missingMachines())
          .put("redirected", zone.redirectedWorkers());
      up &= zone.state() == LinkState.UP;
    }
    return up;
  }

  private static String name(LinkState state) {
    return state.name().toLowerCase(Locale.ROOT);
  }
}
