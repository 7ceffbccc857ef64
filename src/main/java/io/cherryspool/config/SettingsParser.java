package io.cherryspool.config;

import com.fasterxml.jackson.databind.JsonNode;
import io.cherryspool.model.Team;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Parses the platform's JSON into {@link Settings} and checks that a node can run with them. */
final class SettingsParser {
  /**
   * The minimum file descriptor limit of a node. The node needs descriptors for its own calls, the
   * mesh, files, and a few workers and users.
   */
  private static final int MIN_SOCKETS = 64;

  /**
   * The minimum authority of a leader; see {@link Settings#maxLeaderAuthority()}. With a shorter
   * authority, a leader would hardly ever be allowed to act.
   */
  private static final Duration MIN_AUTHORITY = Duration.ofSeconds(1);

  private static final int BYTES_PER_KB = 1024;

  private final JsonSettingsReader root;
  private final JsonSettingsReader facts;
  private final JsonSettingsReader workers;
  private final JsonSettingsReader stateStore;
  private final JsonSettingsReader cloud;
  private final JsonSettingsReader services;

  private SettingsParser(JsonSettingsReader root) throws ConfigException {
    this.root = root;
    facts = root.object("facts");
    workers = facts.object("workers");
    stateStore = facts.object("state");
    cloud = facts.object("cloud");
    services = root.object("services");
  }

  /** Parses and validates settings; see {@link Settings#parse}. */
  static Settings parse(JsonNode root, String origin) throws ConfigException {
    return new SettingsParser(new JsonSettingsReader(origin, "", root)).settings();
  }

  private Settings settings() throws ConfigException {
    List<Settings.Peer> peers = peers();
    List<Team> teams = teams();
    Map<String, List<Double>> deadlineMultiples = deadlineMultiples();
    Duration workerLease = workers.seconds("lease_s");
    Duration maxCancellationTime = workers.seconds("cancel_s");
    checkAuthority(workerLease, maxCancellationTime);
    Duration heartbeatInterval = workers.seconds("report_s");
    checkHeartbeats(workerLease, heartbeatInterval);
    int fileDescriptorLimit = fileDescriptorLimit();
    return new Settings(
        root.text("host_name"),
        root.text("site"),
        root.endpoint("client_listen"),
        root.endpoint("mesh_addr"),
        peers,
        services.endpoint("cloud"),
        services.endpoint("state"),
        teams,
        deadlineMultiples,
        heartbeatInterval,
        workerLease,
        maxCancellationTime,
        stateStoreLimits(),
        cloud.positiveNumber("rps"),
        cloud.seconds("list_lag_s"),
        fileDescriptorLimit);
  }

  private List<Settings.Peer> peers() throws ConfigException {
    List<Settings.Peer> peers = new ArrayList<>();
    for (JsonSettingsReader peer : root.list("known")) {
      peers.add(new Settings.Peer(peer.text("host_name"), peer.endpoint("endpoint")));
    }
    return List.copyOf(peers);
  }

  private List<Team> teams() throws ConfigException {
    List<Team> teams = new ArrayList<>();
    for (JsonSettingsReader team : facts.list("teams")) {
      teams.add(
          new Team(
              team.text("name"),
              team.number("cpus", 0),
              team.number("cpus_max", 0),
              team.number("gpus", 0),
              team.number("gpus_max", 0)));
    }
    return List.copyOf(teams);
  }

  private Map<String, List<Double>> deadlineMultiples() throws ConfigException {
    Map<String, List<Double>> multiples = new HashMap<>();
    for (JsonSettingsReader objective : facts.optionalList("objectives")) {
      if ("deadline".equals(objective.text("kind"))) {
        multiples
            .computeIfAbsent(objective.text("class"), key -> new ArrayList<>())
            .add(objective.positiveNumber("times"));
      }
    }
    multiples.values().forEach(Collections::sort);
    return multiples;
  }

  private void checkAuthority(Duration workerLease, Duration maxCancellationTime)
      throws ConfigException {
    if (Settings.maxLeaderAuthority(workerLease, maxCancellationTime).compareTo(MIN_AUTHORITY)
        < 0) {
      throw workers.unusable(
          "cancel_s",
          "is too short for facts.workers.lease_s: a cancelled task could run longer than this on a"
              + " machine that only a partitioned leader reaches");
    }
  }

  private void checkHeartbeats(Duration workerLease, Duration heartbeatInterval)
      throws ConfigException {
    if (workerLease.compareTo(heartbeatInterval.multipliedBy(2)) < 0) {
      throw workers.unusable("lease_s", "must be at least twice facts.workers.report_s");
    }
  }

  private int fileDescriptorLimit() throws ConfigException {
    JsonSettingsReader resources = facts.object("resources");
    int limit = (int) resources.positiveNumber("fd_limit");
    if (limit < MIN_SOCKETS) {
      throw resources.unusable("fd_limit", "must be at least " + MIN_SOCKETS);
    }
    return limit;
  }

  private Settings.StateStoreLimits stateStoreLimits() throws ConfigException {
    return new Settings.StateStoreLimits(
        stateStore.positiveNumber("rps"),
        stateStore.positiveNumber("write_rps"),
        (int) (stateStore.positiveNumber("value_kb") * BYTES_PER_KB),
        (int) stateStore.positiveNumber("txn_ops"));
  }
}
