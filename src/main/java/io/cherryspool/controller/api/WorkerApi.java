package io.cherryspool.controller.api;

import io.cherryspool.controller.metrics.Meters;
import io.cherryspool.controller.recovery.RecoveryModule;
import io.cherryspool.http.Reply;
import io.cherryspool.mesh.Mesh;
import io.cherryspool.model.WorkerHeartbeat;
import io.cherryspool.store.ClusterRecords;
import io.cherryspool.store.Records;
import io.cherryspool.wire.Json;
import io.cherryspool.wire.MalformedMessageException;
import io.cherryspool.wire.WorkerProtocol;
import java.util.Comparator;
import java.util.Optional;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Answers workers' heartbeats if this node leads, and otherwise redirects the workers to the
 * leader.
 */
public final class WorkerApi {
  /** The path of workers' heartbeats. */
  static final String PATH = "/v1/report";

  private static final Logger LOG = LoggerFactory.getLogger(WorkerApi.class);

  private final String nodeName;
  private final NodeService node;
  private final ClusterRecords records;
  private final StateStoreHealth stateStore;
  private final Optional<RecoveryModule> recovery;
  private final Meters meters;

  /**
   * Creates the API.
   *
   * @param nodeName the name of this node
   * @param recovery observes heartbeats that this node can't answer; empty on a node that doesn't
   *     detect lost records
   */
  public WorkerApi(
      String nodeName,
      NodeService node,
      ClusterRecords records,
      StateStoreHealth stateStore,
      Optional<RecoveryModule> recovery,
      Meters meters) {
    this.nodeName = nodeName;
    this.node = node;
    this.records = records;
    this.stateStore = stateStore;
    this.recovery = recovery;
    this.meters = meters;
  }

  /** Answers the body of a heartbeat request. */
  Reply answer(byte[] body) {
    WorkerHeartbeat heartbeat;
    try {
      heartbeat = WorkerProtocol.parseHeartbeat(Json.parseObject(body));
    } catch (MalformedMessageException e) {
      LOG.warn("refused a malformed heartbeat from a worker: {}", e.getMessage());
      return Replies.error(Replies.BAD_REQUEST, e.getMessage());
    }
    Optional<byte[]> answer = node.answerHeartbeat(heartbeat);
    return answer.isPresent() ? Reply.json(Replies.OK, answer.get()) : redirect(heartbeat);
  }

  private Reply redirect(WorkerHeartbeat heartbeat) {
    recovery.ifPresent(module -> module.observeUnansweredHeartbeat(heartbeat));
    Optional<String> leader = otherLeader();
    if (leader.isPresent()) {
      node.recordRedirectedWorker(heartbeat);
    }
    meters.redirectedHeartbeats.increment();
    return Reply.json(
        Replies.MISDIRECTED_REQUEST, WorkerProtocol.encodeRedirect(leader.orElse(null)));
  }

  /**
   * Returns the name of the other node that leads, if it is known: from the records if this node
   * can read them, and otherwise from the other nodes' heartbeats. A redirect is only a hint; a
   * node that does not lead redirects the worker again.
   */
  private Optional<String> otherLeader() {
    if (stateStore.isReachable()) {
      Records.Leader leader = records.isLoaded() ? records.leader() : null;
      return leader == null || leader.node().equals(nodeName)
          ? Optional.empty()
          : Optional.of(leader.node());
    }
    return node.recentPeerHeartbeats().stream()
        .filter(heartbeat -> heartbeat.links().isLeading())
        .max(Comparator.comparingLong(Mesh.PeerHeartbeat::term))
        .map(Mesh.PeerHeartbeat::node);
  }
}
