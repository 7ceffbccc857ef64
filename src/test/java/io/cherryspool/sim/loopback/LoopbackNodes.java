package io.cherryspool.sim.loopback;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.cherryspool.http.Endpoint;
import io.cherryspool.sim.fakes.WorkerSettings;
import io.cherryspool.wire.Json;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Addresses of nodes in the loopback network, and their settings files. */
public final class LoopbackNodes {
  public static final List<String> ZONES = List.of("a", "b", "c");

  private final int count;
  private final String addressPrefix;
  private final int port;
  private final Services services;
  private final WorkerSettings workerSettings;
  private final Limits limits;
  private final LoopbackRoutes routes;
  private final Map<String, Endpoint> addresses = new LinkedHashMap<>();

  /**
   * The request and write rates of the state store, the maximum number of sockets of a node, and
   * the CPU quota of the only team. A quota of 0 means no limit.
   */
  public record Limits(
      double requestsPerSecond, double writesPerSecond, int maxSockets, double maxTeamCpus) {}

  /** The addresses of the services. */
  public record Services(Endpoint stateStore, Endpoint cloud) {}

  /**
   * Creates the loopback nodes.
   *
   * @param addressPrefix the first three parts of the nodes' addresses, with a trailing dot; the
   *     last part is 1 for the first node
   * @param port the port for users and workers; the other nodes use {@code port + 1}
   */
  LoopbackNodes(
      int count,
      String addressPrefix,
      int port,
      Services services,
      WorkerSettings workerSettings,
      Limits limits,
      LoopbackRoutes routes) {
    this.count = count;
    this.addressPrefix = addressPrefix;
    this.port = port;
    this.services = services;
    this.workerSettings = workerSettings;
    this.limits = limits;
    this.routes = routes;
    for (int i = 0; i < count; i++) {
      addresses.put(name(i), new Endpoint(host(i), port));
    }
  }

  private static String zone(int index) {
    return ZONES.get(index % ZONES.size());
  }

  /** Returns the address of each node by its name. */
  Map<String, Endpoint> addresses() {
    return addresses;
  }

  /** Returns the address at which workers reach each node, by the node's name. */
  Map<String, Endpoint> workerAddresses() {
    Map<String, Endpoint> result = new LinkedHashMap<>();
    for (int i = 0; i < count; i++) {
      result.put(name(i), routes.controllerAddress(i, addresses.get(name(i))));
    }
    return result;
  }

  public static String name(int index) {
    return "node-" + index;
  }

  private String host(int index) {
    return addressPrefix + (index + 1);
  }

  private Endpoint meshAddress(int index) {
    return new Endpoint(host(index), port + 1);
  }

  /** Writes the settings of a node into the folder, and returns the file. */
  public Path writeSettings(Path folder, int index) throws IOException {
    Path file = folder.resolve(name(index) + ".json");
    return Files.write(file, Json.toBytes(settings(index)));
  }

  private ObjectNode settings(int index) {
    ObjectNode root = Json.object().put("host_name", name(index)).put("site", zone(index));
    root.put("client_listen", addresses.get(name(index)).toString());
    root.put("mesh_addr", meshAddress(index).toString());
    ArrayNode peers = root.putArray("known");
    for (int i = 0; i < count; i++) {
      if (i != index) {
        ObjectNode peer = peers.addObject().put("host_name", name(i));
        peer.put("site", zone(i))
            .put("endpoint", routes.peerAddress(index, i, meshAddress(i)).toString());
      }
    }
    String stateStoreAddress = routes.stateStoreAddress(index, services.stateStore).toString();
    root.putObject("services")
        .put("cloud", services.cloud.toString())
        .put("state", stateStoreAddress);
    root.set("facts", facts());
    return root;
  }

  private ObjectNode facts() {
    ObjectNode facts = Json.object();
    ObjectNode team = facts.putArray("teams").addObject().put("name", "red").put("cpus", 64.0);
    team.put("cpus_max", limits.maxTeamCpus);
    facts
        .putObject("workers")
        .put("report_s", workerSettings.heartbeatInterval().toMillis() / 1e3)
        .put("lease_s", (double) workerSettings.lease().toSeconds())
        .put("cancel_s", 36.0);
    facts
        .putObject("state")
        .put("rps", limits.requestsPerSecond)
        .put("write_rps", limits.writesPerSecond)
        .put("value_kb", 16.0)
        .put("txn_ops", 48);
    facts.putObject("cloud").put("rps", 6.0).put("list_lag_s", 6.0);
    facts.putObject("resources").put("fd_limit", limits.maxSockets);
    return facts;
  }
}
