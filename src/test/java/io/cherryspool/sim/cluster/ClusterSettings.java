package io.cherryspool.sim.cluster;

import io.cherryspool.config.OperatorSettings;
import io.cherryspool.config.RecoverySettings;
import io.cherryspool.config.Settings;
import io.cherryspool.http.Endpoint;
import io.cherryspool.model.MachineType;
import io.cherryspool.model.Resources;
import io.cherryspool.model.Team;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The addresses, machine types and teams of a {@link SimulatedCluster}, and the settings of each of
 * its nodes.
 */
final class ClusterSettings {
  static final Endpoint STATE_STORE = new Endpoint("10.2.0.1", 2379);
  static final Endpoint CLOUD = new Endpoint("10.2.0.2", 8443);
  static final Duration HEARTBEAT_INTERVAL = Duration.ofMillis(2500);

  private static final double STATE_STORE_REQUESTS_PER_S = 150;
  private static final int USER_PORT = 8080;
  private static final int MESH_PORT = 8081;

  private static final MachineType LARGE_TYPE =
      new MachineType(
          "box",
          new Resources(16, 0, 64),
          50,
          0.5,
          1,
          0.4,
          Duration.ofSeconds(8),
          SimulatedCluster.ZONES);

  /** A type that is too small for the larger tasks, and is not available in every zone. */
  private static final MachineType SMALL_TYPE =
      new MachineType(
          "crate",
          new Resources(4, 0, 16),
          50,
          0.5,
          0.25,
          0.1,
          Duration.ofSeconds(5),
          SimulatedCluster.ZONES.subList(0, 2));

  static final List<MachineType> MACHINE_TYPES = List.of(LARGE_TYPE, SMALL_TYPE);

  static final List<Team> TEAMS =
      List.of(
          new Team("red", 40, 64, 0, 0),
          new Team("blue", 40, 96, 0, 0),
          new Team("guest", 0, 0, 0, 0));

  /** Teams whose quotas are used up by two jobs of typical size. */
  static final List<Team> TIGHT_TEAMS =
      List.of(
          new Team("red", 16, 24, 0, 0),
          new Team("blue", 16, 32, 0, 0),
          new Team("guest", 0, 16, 0, 0));

  private final Map<String, Endpoint> addresses = new LinkedHashMap<>();
  private final double stateWritesPerS;
  private final OperatorSettings operatorSettings;
  private final List<Team> teams;

  /**
   * Creates the cluster settings.
   *
   * @param recovery the settings for rebuilding lost records; empty if nodes do not rebuild them
   */
  ClusterSettings(
      int controllers,
      double stateWritesPerS,
      Optional<RecoverySettings> recovery,
      List<Team> teams) {
    this.teams = teams;
    this.stateWritesPerS = stateWritesPerS;
    this.operatorSettings = operatorSettings(recovery);
    for (int i = 0; i < controllers; i++) {
      addresses.put(nodeName(i), new Endpoint("10.0.0." + (i + 1), USER_PORT));
    }
  }

  private static OperatorSettings operatorSettings(Optional<RecoverySettings> recovery) {
    OperatorSettings defaults = OperatorSettings.DEFAULTS;
    return new OperatorSettings(
        defaults.maxRoundInterval(),
        defaults.stateStoreLease(),
        defaults.failureCap(),
        defaults.idleTimeout(),
        defaults.maxStartDelay(),
        recovery,
        defaults.partitions());
  }

  static String nodeName(int index) {
    return "node-" + index;
  }

  static String nodeZone(int index) {
    return SimulatedCluster.ZONES.get(index % SimulatedCluster.ZONES.size());
  }

  List<Team> teams() {
    return teams;
  }

  /**
   * Returns the addresses of the nodes for users and workers, by node name and in the order of the
   * nodes.
   */
  Map<String, Endpoint> addresses() {
    return addresses;
  }

  Endpoint address(int index) {
    return addresses.get(nodeName(index));
  }

  double stateWritesPerS() {
    return stateWritesPerS;
  }

  OperatorSettings operatorSettings() {
    return operatorSettings;
  }

  /** Returns the settings of one node. */
  Settings settings(int index) {
    List<Settings.Peer> peers = new ArrayList<>();
    for (int i = 0; i < addresses.size(); i++) {
      if (i != index) {
        peers.add(new Settings.Peer(nodeName(i), meshAddress(i)));
      }
    }
    return new Settings(
        nodeName(index),
        nodeZone(index),
        address(index),
        meshAddress(index),
        peers,
        CLOUD,
        STATE_STORE,
        teams,
        Map.of(),
        HEARTBEAT_INTERVAL,
        SimulatedCluster.LEASE,
        SimulatedCluster.CANCEL_LIMIT,
        new Settings.StateStoreLimits(STATE_STORE_REQUESTS_PER_S, stateWritesPerS, 2048, 12),
        6,
        Duration.ofSeconds(6),
        1000);
  }

  private Endpoint meshAddress(int index) {
    return new Endpoint(address(index).host(), MESH_PORT);
  }
}
