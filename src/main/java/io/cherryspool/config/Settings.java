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
import java.util.List;
import java.util.Map;

/**
 * The settings that the platform hands over, as JSON. Fields that it adds later are ignored.
 *
 * <p>It has more components than seven, one for each setting, so that their users name a setting
 * and not its place in the file; one call in the parser makes it.
 *
 * @param name this node's name, which no other node has
 * @param zone the zone that this node runs in
 * @param clientAddress where the node takes requests of users, workers and operators
 * @param meshAddress where it takes heartbeats of other nodes
 * @param peers the other nodes
 * @param cloudAddress where the cloud takes requests
 * @param stateStoreAddress where the state store takes requests
 * @param teams the teams with their quotas
 * @param deadlineMultiples by class, the multiples of the deadline that the service-level
 *     objectives name, ascending
 * @param heartbeatInterval how often a worker sends a heartbeat
 * @param workerLease for how long a worker runs its tasks after it was last kept alive
 * @param maxCancellationTime within what time a cancelled task has to be gone
 * @param stateStoreLimits what the state store accepts
 * @param cloudRequestsPerSecond how many requests the cloud accepts
 * @param cloudListLag how far the cloud's list of instances may be behind
 * @param fileDescriptorLimit how many files and sockets the process may have open
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
    Duration maxCancellationTime,
    StateStoreLimits stateStoreLimits,
    double cloudRequestsPerSecond,
    Duration cloudListLag,
    int fileDescriptorLimit) {

  /**
   * Another controller node.
   *
   * @param endpoint where it takes heartbeats
   */
  public record Peer(String name, Endpoint endpoint) {}

  /**
   * What the state store accepts from all nodes together.
   *
   * @param requestsPerSecond bounds all requests
   * @param writesPerSecond bounds the puts and deletes in them
   * @param maxValueBytes bounds one value
   * @param maxTransactionOperations bounds the changes of one transaction
   */
  public record StateStoreLimits(
      double requestsPerSecond,
      double writesPerSecond,
      int maxValueBytes,
      int maxTransactionOperations) {}

  /** The names of the other nodes. */
  public List<String> peerNames() {
    return peers.stream().map(Peer::name).toList();
  }

  /**
   * How long a leader may keep workers alive after it sent the last requests that confirmed its
   * lease and a read of the state store. A task on a machine that only a cut-off leader still
   * reaches must be gone within the cancel limit, so authority, worker lease and margins together
   * stay within it. The margins cover clock drift, and messages that arrive late within their
   * deadlines.
   */
  public Duration authority() {
    return authority(workerLease, maxCancellationTime);
  }

  static Duration authority(Duration workerLease, Duration cancelLimit) {
    Duration margin = cancelLimit.dividedBy(20).plusSeconds(1);
    return cancelLimit.minus(workerLease).minus(margin.multipliedBy(2));
  }

  /**
   * Reads and checks a settings file; blocks.
   *
   * @throws ConfigException if the file can't be read, or a setting is missing or unusable
   */
  public static Settings load(Path file) throws ConfigException {
    JsonNode root;
    try {
      root = JsonTree.read(Files.readAllBytes(file));
    } catch (NoSuchFileException e) {
      throw ConfigException.ofFile(file, "there is no such file");
    } catch (IOException e) {
      throw ConfigException.ofFile(file, firstLine(e));
    }
    return parse(root, file.toString());
  }

  /**
   * Reads and checks settings.
   *
   * @param origin names the settings in errors
   * @throws ConfigException if a setting is missing or unusable
   */
  public static Settings parse(JsonNode root, String origin) throws ConfigException {
    return SettingsParser.parse(root, origin);
  }

  private static String firstLine(IOException e) {
    String text = String.valueOf(e.getMessage());
    int end = text.indexOf('\n');
    return end < 0 ? text : text.substring(0, end);
  }
}
