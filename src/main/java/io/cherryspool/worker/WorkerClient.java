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
 * Client of the worker agents on the machines. Used on the event loop, where its futures complete:
 * with the heartbeat that the worker sends as its response, or exceptionally if there was no usable
 * response.
 */
public final class WorkerClient {
  private static final int OK = 200;

  /**
   * The HTTP status of a worker that has refused all commands of a call, because the fencing token
   * is too old or the agent epoch is not the current one.
   */
  private static final int CONFLICT = 409;

  private final Transport transport;
  private final Duration deadline;

  /** Creates a client whose calls fail if there is no response within {@code deadline}. */
  public WorkerClient(Transport transport, Duration deadline) {
    this.transport = transport;
    this.deadline = deadline;
  }

  /**
   * Sends commands to a worker, which executes them unless it has seen a later token or is in
   * another agent epoch. The heartbeat in the response shows the state of the worker's tasks after
   * that. If the call fails, the worker may still execute the commands later, as long as the token
   * and the epoch are current.
   *
   * @param token the leader's fencing token
   * @param agentEpoch the agent epoch from the worker's last heartbeat
   */
  public CompletableFuture<WorkerHeartbeat> sendCommands(
      Endpoint worker, long token, long agentEpoch, List<WorkerCommand> commands) {
    byte[] body = WorkerProtocol.encodeCommands(token, agentEpoch, commands);
    return call(worker, Request.post("/commands", body));
  }

  /** Requests a heartbeat outside the worker's interval, without changing the worker's state. */
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
      throw new MalformedMessageException("unexpected status " + reply.status());
    } catch (MalformedMessageException e) {
      throw new CompletionException(
          new IOException("malformed response from a worker: " + e.getMessage()));
    }
  }
}
