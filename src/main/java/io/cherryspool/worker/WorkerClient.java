package io.cherryspool.worker;

import io.cherryspool.http.Endpoint;
import io.cherryspool.http.Reply;
import io.cherryspool.http.Request;
import io.cherryspool.http.Transport;
import io.cherryspool.model.Order;
import io.cherryspool.model.Report;
import io.cherryspool.wire.Json;
import io.cherryspool.wire.WireException;
import io.cherryspool.wire.WorkerWire;
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
  public CompletableFuture<Report> commands(
      Endpoint worker, long token, long session, List<Order> orders) {
    return report(worker, Request.post("/commands", WorkerWire.commands(token, session, orders)));
  }

  public CompletableFuture<Report> inspect(Endpoint worker) {
    return report(worker, Request.get("/inspect"));
  }

  private CompletableFuture<Report> report(Endpoint worker, Request request) {
    return transport.send(worker, request, deadline).thenApply(WorkerClient::parse);
  }

  private static Report parse(Reply reply) {
    try {
      if (reply.status() == 200 || reply.status() == 409) {
        return WorkerWire.parseReport(Json.parseObject(reply.body()));
      }
      throw new WireException("status " + reply.status());
    } catch (WireException e) {
      throw new CompletionException(new IOException("a worker's answer: " + e.getMessage()));
    }
  }
}
