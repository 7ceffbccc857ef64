package io.cherryspool.worker;

import io.cherryspool.http.Endpoint;
import io.cherryspool.http.Reply;
import io.cherryspool.http.Request;
import io.cherryspool.http.Transport;
import io.cherryspool.model.WorkerCommand;
import io.cherryspool.model.WorkerHeartbeat;
import io.cherryspool.wire.Json;
import io.cherryspool.wire.MalformedMessageException;
import io.cherryspool.wire.WorkerProtocol;
import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;

/**
 * Client of the agents on the machines. Used on the event loop, where its futures complete: with
 * the heartbeat by which the worker answers, or with a failure if there was no usable answer.
 */
public final class WorkerClient {
  private static final int OK = 200;

  /** Nothing was executed: the token is too old, or the agent epoch another. */
  private static final int CONFLICT = 409;

  private final Transport transport;
  private final Duration deadline;

  /** Makes a client whose calls fail after {@code deadline} without an answer. */
  public WorkerClient(Transport transport, Duration deadline) {
    this.transport = transport;
    this.deadline = deadline;
  }

  /**
   * Sends commands to a worker, which executes them unless it knows a later token or is in another
   * epoch; the heartbeat in its answer shows what came of them. If the call fails, they may still
   * be executed later, as long as token and epoch are current.
   *
   * @param token the leader's fencing token
   * @param agentEpoch the epoch of the worker, from its last heartbeat
   */
  public CompletableFuture<WorkerHeartbeat> sendCommands(
      Endpoint worker, long token, long agentEpoch, List<WorkerCommand> commands) {
    byte[] body = WorkerProtocol.encodeCommands(token, agentEpoch, commands);
    return call(worker, Request.post("/commands", body));
  }

  /** Requests a heartbeat outside of the worker's interval; changes nothing at the worker. */
  public CompletableFuture<WorkerHeartbeat> requestHeartbeat(Endpoint worker) {
    return call(worker, Request.get("/inspect"));
  }

  private CompletableFuture<WorkerHeartbeat> call(Endpoint worker, Request request) {
    return transport.send(worker, request, deadline).thenApply(WorkerClient::parse);
  }

  private static WorkerHeartbeat parse(Reply reply) {
    try {
      if (reply.status() == OK || reply.status() == CONFLICT) {
        return WorkerProtocol.parseHeartbeat(Json.parseObject(reply.body()));
      }
      throw new MalformedMessageException("status " + reply.status());
    } catch (MalformedMessageException e) {
      throw new CompletionException(new IOException("a worker's answer: " + e.getMessage()));
    }
  }
}
