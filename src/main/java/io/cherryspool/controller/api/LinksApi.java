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

/**
 * Answers operators' requests for the state of all nodes' links, as far as this node knows it from
 * heartbeats.
 */
public final class LinksApi {
  /** The path of the request. */
  public static final String PATH = "/links";

  private final String node;
  private final List<String> peers;

  /**
   * The observations that the nodes have made of their links.
   *
   * @param now the time of the answer, on the event loop's clock
   * @param own the observations of this node
   * @param matrix the observations of the other nodes, from their latest heartbeats
   */
  public record Observations(Duration now, LinkSummary own, ReachabilityMatrix matrix) {}

  /**
   * Creates the API.
   *
   * @param node the name of this node
   * @param peers the names of the other nodes, in the order in which answers list them
   */
  public LinksApi(String node, List<String> peers) {
    this.node = node;
    this.peers = peers;
  }

  /** Returns a JSON document that describes all links. */
  Reply answer(Observations observations) {
    ObjectNode root = Json.object().put("node", node);
    ArrayNode nodes = root.putArray("nodes");
    boolean areAllUp = writeLinks(nodes.addObject(), node, 0, observations.own());
    for (String peer : peers) {
      Optional<ReachabilityMatrix.ReceivedHeartbeat> received =
          observations.matrix().latestHeartbeat(peer);
      if (received.isEmpty()) {
        nodes.addObject().put("node", peer).put("heard_ms", -1);
        areAllUp = false;
        continue;
      }
      Mesh.PeerHeartbeat heartbeat = received.get().heartbeat();
      long ageMillis = observations.now().minus(received.get().receivedAt()).toMillis();
      areAllUp &= writeLinks(nodes.addObject(), peer, ageMillis, heartbeat.links());
    }
    root.put("all_up", areAllUp);
    return Reply.json(Replies.OK, Json.toBytes(root));
  }

  /** Writes the links of one node; returns true if all of them are up. */
  private static boolean writeLinks(
      ObjectNode target, String name, long ageMillis, LinkSummary links) {
    target.put("node", name).put("heard_ms", ageMillis).put("address", links.address());
    target.put("leading", links.isLeading()).put("doubtful", links.wasStalled());
    target.put("verdict", links.verdict());
    target.put("leadership_penalty", links.leadershipPenalty() / 10.0);
    target.put("state", name(links.stateStore())).put("cloud", name(links.cloud()));
    boolean areAllUp = links.stateStore() == LinkState.UP && links.cloud() == LinkState.UP;
    ArrayNode peers = target.putArray("peers");
    for (LinkSummary.PeerLink peer : links.peers()) {
      peers
          .addObject()
          .put("node", peer.node())
          .put("link", name(peer.state()))
          .put("heard_ms", peer.heartbeatAgeMillis());
      areAllUp &= peer.state() == LinkState.UP;
    }
    ArrayNode zones = target.putArray("zones");
    for (LinkSummary.ZoneLink zone : links.zones()) {
      zones
          .addObject()
          .put("zone", zone.zone())
          .put("link", name(zone.state()))
          .put("machines", zone.knownMachines())
          .put("missing", zone.missingMachines())
          .put("redirected", zone.redirectedWorkers());
      areAllUp &= zone.state() == LinkState.UP;
    }
    return areAllUp;
  }

  private static String name(LinkState state) {
    return state.name().toLowerCase(Locale.ROOT);
  }
}
