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

/** Calls to workers. Each answer is the worker's report after the call. */
public final class WorkerClient {
  private final Transport transport;
  private final Duration deadline;

  public WorkerClient(Transport transport, Duration deadline) {
    this.transport = transport;
    this.deadline = deadline;
  }

  /** Fails without an answer; the commands may then still run, as long as the token is current. */
  public CompletableFuture<WorkerHeartbeat> sendCommands(
      Endpoint worker, long token, long session, List<WorkerCommand> orders) {
    return report(
        worker, Request.post("/commands", WorkerProtocol.encodeCommands(token, session, orders)));
  }

  public CompletableFuture<WorkerHeartbeat> requestHeartbeat(Endpoint worker) {
    return report(worker, Request.get("/inspect"));
  }

  private CompletableFuture<WorkerHeartbeat> report(Endpoint worker, Request request) {
    return transport.send(worker, request, deadline).thenApply(WorkerClient::parse);
  }

  private static WorkerHeartbeat parse(Reply reply) {
    try {
      if (reply.status() == 200 || reply.status() == 409) {
        return WorkerProtocol.parseHeartbeat(Json.parseObject(reply.body()));
      }
      throw new MalformedMessageException("status " + reply.status());
    } catch (MalformedMessageException e) {
      throw new CompletionException(new IOException("a worker's answer: " + e.getMessage()));
    }
  }
}
