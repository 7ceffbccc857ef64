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
 * The settings that the platform provides in a JSON file. Unknown fields are ignored, since the
 * platform may add fields later.
 *
 * <p>The record has more than seven components, one for each setting, so that callers access a
 * setting by its name, independently of its place in the file. Only the parser calls the
 * constructor.
 *
 * @param name the name of this node, unique in the cluster
 * @param zone the zone that this node runs in
 * @param clientAddress the address at which the node accepts requests of users, workers and
 *     operators
 * @param meshAddress the address at which the node accepts heartbeats of other nodes
 * @param peers the other nodes
 * @param cloudAddress the address of the cloud
 * @param stateStoreAddress the address of the state store
 * @param teams the teams with their quotas
 * @param deadlineMultiples for each job class, the multiples of the deadline that the service-level
 *     objectives name, in ascending order
 * @param heartbeatInterval the time between two heartbeats of a worker
 * @param workerLease how long a worker keeps its tasks running after its last lease renewal
 * @param maxCancellationTime the time within which the tasks of a cancelled job must have ended
 * @param stateStoreLimits the limits that the state store enforces
 * @param cloudRequestsPerSecond the request rate that the cloud accepts
 * @param cloudListLag how out of date the cloud's list of instances may be
 * @param fileDescriptorLimit the number of files and sockets that the process may have open
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
   * @param endpoint the address at which it accepts heartbeats
   */
  public record Peer(String name, Endpoint endpoint) {}

  /**
   * The limits that the state store enforces. The rates apply to all nodes together.
   *
   * @param requestsPerSecond the maximum rate of requests
   * @param writesPerSecond the maximum rate of puts and deletes in these requests
   * @param maxValueBytes the maximum size of a value
   * @param maxTransactionOperations the maximum number of changes in a transaction
   */
  public record StateStoreLimits(
      double requestsPerSecond,
      double writesPerSecond,
      int maxValueBytes,
      int maxTransactionOperations) {}

  /** Returns the names of the other nodes. */
  public List<String> peerNames() {
    return peers.stream().map(Peer::name).toList();
  }

  /**
   * Returns a leader's authority, which is the time for which the leader may renew the leases of
   * workers. The time counts from when the leader sent the last successful requests that renewed
   * its own lease and read the state store.
   *
   * <p>A cancelled task must have ended within the maximum cancellation time, even on a machine
   * that only a partitioned leader still reaches. Authority, worker lease and a margin for each of
   * them therefore add up to that time. The margins cover clock drift, and messages that arrive
   * late but within their deadlines.
   */
  public Duration maxLeaderAuthority() {
    return maxLeaderAuthority(workerLease, maxCancellationTime);
  }

  static Duration maxLeaderAuthority(Duration workerLease, Duration maxCancellationTime) {
    Duration margin = maxCancellationTime.dividedBy(20).plusSeconds(1);
    return maxCancellationTime.minus(workerLease).minus(margin.multipliedBy(2));
  }

  /**
   * Reads and validates a settings file. Blocks.
   *
   * @throws ConfigException if the file cannot be read, or a setting is missing or invalid
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
   * Parses and validates settings.
   *
   * @param origin the name of the settings file in error messages
   * @throws ConfigException if a setting is missing or invalid
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
