package io.cherryspool.config;

import com.fasterxml.jackson.databind.JsonNode;
import io.cherryspool.http.Endpoint;
import io.cherryspool.model.Team;
import io.cherryspool.wire.JsonTree;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The settings that the platform hands over, as JSON. Fields it adds later are ignored.
 *
 * @param deadlineMultiples by class, the multiples of the deadline that the aims name, rising
 */
public record Settings(
    String name,
    String zone,
    Endpoint clientAddress,
    Endpoint meshAddress,
    List<Peer> peers,
    Endpoint cloudAddress,
    Endpoint stateStoreAddress,
    List<Team> teams,
    Map<String, List<Double>> deadlineMultiples,
    Duration heartbeatInterval,
    Duration workerLease,
    Duration cancelLimit,
    StateStoreLimits stateStoreLimits,
    double cloudRequestsPerSecond,
    Duration cloudListLag,
    int fdLimit) {
  /** Calls, the mesh, files and a few workers and users need so many. */
  private static final int MIN_SOCKETS = 64;

  /** A leader that may act for less than this after its last word would hardly ever act. */
  private static final Duration MIN_AUTHORITY = Duration.ofSeconds(1);

  /** Another controller node. */
  public record Peer(String name, Endpoint endpoint) {}

  /** The names of the other nodes. */
  public List<String> peerNames() {
    return peers.stream().map(Peer::name).toList();
  }

  /** What the state service bears, from all nodes together. */
  public record StateStoreLimits(
      double requestsPerSecond,
      double writesPerSecond,
      int maxValueBytes,
      int maxTransactionOperations) {}

  /**
   * How long after sending its last confirmed renewal and reading a leader may keep workers alive.
   * A task on a machine that only a cut-off leader still hears must be gone within the cancel
   * limit, so authority, worker lease and margins together stay within it. The margins are for
   * clock drift and for messages late within their deadlines.
   */
  public Duration authority() {
    return authority(workerLease, cancelLimit);
  }

  private static Duration authority(Duration lease, Duration cancel) {
    Duration margin = cancel.dividedBy(20).plusSeconds(1);
    return cancel.minus(lease).minus(margin.multipliedBy(2));
  }

  public static Settings load(Path file) throws ConfigException {
    JsonNode root;
    try {
      root = JsonTree.read(Files.readAllBytes(file));
    } catch (NoSuchFileException e) {
      throw new ConfigException(file + ": there is no such file");
    } catch (IOException e) {
      throw new ConfigException(file + ": " + firstLine(e));
    }
    return parse(root, file.toString());
  }

  /** Reads the settings; {@code origin} names them in complaints. */
  public static Settings parse(JsonNode root, String origin) throws ConfigException {
    Reader top = new Reader(origin, "", root);
    Reader facts = top.object("facts");
    Reader workers = facts.object("workers");
    Reader state = facts.object("state");
    Reader cloud = facts.object("cloud");
    Reader services = top.object("services");
    List<Peer> peers = new ArrayList<>();
    for (Reader peer : top.list("known")) {
      peers.add(new Peer(peer.text("host_name"), peer.endpoint("endpoint")));
    }
    List<Team> teams = new ArrayList<>();
    for (Reader team : facts.list("teams")) {
      teams.add(
          new Team(
              team.text("name"),
              team.number("cpus", 0),
              team.number("cpus_max", 0),
              team.number("gpus", 0),
              team.number("gpus_max", 0)));
    }
    Map<String, List<Double>> deadlineTimes = new HashMap<>();
    for (Reader objective : facts.optionalList("objectives")) {
      if ("deadline".equals(objective.text("kind"))) {
        deadlineTimes
            .computeIfAbsent(objective.text("class"), key -> new ArrayList<>())
            .add(objective.positive("times"));
      }
    }
    deadlineTimes.values().forEach(Collections::sort);
    Duration lease = workers.seconds("lease_s");
    Duration cancel = workers.seconds("cancel_s");
    if (authority(lease, cancel).compareTo(MIN_AUTHORITY) < 0) {
      throw new ConfigException(
          origin
              + ": facts.workers.cancel_s is too short for facts.workers.lease_s: a cancelled task"
              + " that only a cut-off leader keeps alive would outlast it");
    }
    Duration report = workers.seconds("report_s");
    if (lease.compareTo(report.multipliedBy(2)) < 0) {
      throw new ConfigException(
          origin + ": facts.workers.lease_s must be at least twice facts.workers.report_s");
    }
    int sockets = (int) facts.object("resources").positive("fd_limit");
    if (sockets < MIN_SOCKETS) {
      throw new ConfigException(
          origin + ": facts.resources.fd_limit must be at least " + MIN_SOCKETS);
    }
    return new Settings(
        top.text("host_name"),
        top.text("site"),
        top.endpoint("client_listen"),
        top.endpoint("mesh_addr"),
        List.copyOf(peers),
        services.endpoint("cloud"),
        services.endpoint("state"),
        List.copyOf(teams),
        deadlineTimes,
        report,
        lease,
        cancel,
        new StateStoreLimits(
            state.positive("rps"),
            state.positive("write_rps"),
            (int) (state.positive("value_kb") * 1024),
            (int) state.positive("txn_ops")),
        cloud.positive("rps"),
        cloud.seconds("list_lag_s"),
        sockets);
  }

  private static String firstLine(IOException e) {
    String text = String.valueOf(e.getMessage());
    int end = text.indexOf('\n');
    return end < 0 ? text : text.substring(0, end);
  }

  /** Reads fields of one object and names the field in every complaint. */
  private record Reader(String origin, String path, JsonNode node) {

    private String at(String field) {
      return origin + ": " + (path.isEmpty() ? field : path + "." + field);
    }

    private String under(String field) {
      return path.isEmpty() ? field : path + "." + field;
    }

    Reader object(String field) throws ConfigException {
      JsonNode found = node.path(field);
      if (!found.isObject()) {
        throw new ConfigException(at(field) + " must be an object");
      }
      return new Reader(origin, under(field), found);
    }

    List<Reader> optionalList(String field) throws ConfigException {
      JsonNode found = node.path(field);
      return found.isMissingNode() || found.isNull() ? List.of() : list(field);
    }

    List<Reader> list(String field) throws ConfigException {
      JsonNode found = node.path(field);
      if (!found.isArray()) {
        throw new ConfigException(at(field) + " must be a list");
      }
      List<Reader> result = new ArrayList<>();
      for (int i = 0; i < found.size(); i++) {
        if (!found.get(i).isObject()) {
          throw new ConfigException(at(field) + "[" + i + "] must be an object");
        }
        result.add(new Reader(origin, under(field) + "[" + i + "]", found.get(i)));
      }
      return result;
    }

    String text(String field) throws ConfigException {
      JsonNode found = node.path(field);
      if (!found.isTextual() || found.textValue().isEmpty()) {
        throw new ConfigException(at(field) + " must be a non-empty string");
      }
      return found.textValue();
    }

    Endpoint endpoint(String field) throws ConfigException {
      try {
        return Endpoint.parse(text(field));
      } catch (IllegalArgumentException e) {
        throw new ConfigException(at(field) + ": " + e.getMessage());
      }
    }

    double number(String field, double absent) throws ConfigException {
      JsonNode found = node.path(field);
      if (found.isMissingNode() || found.isNull()) {
        return absent;
      }
      if (!found.isNumber() || !(found.doubleValue() >= 0)) {
        throw new ConfigException(at(field) + " must be a number of at least 0");
      }
      return found.doubleValue();
    }

    double positive(String field) throws ConfigException {
      double value = number(field, Double.NaN);
      if (!(value > 0)) {
        throw new ConfigException(at(field) + " must be a number above 0");
      }
      return value;
    }

    Duration seconds(String field) throws ConfigException {
      return Duration.ofNanos((long) (positive(field) * 1e9));
    }
  }
}
