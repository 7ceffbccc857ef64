package io.cherryspool.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.cherryspool.http.Endpoint;
import io.cherryspool.http.Reply;
import io.cherryspool.http.Request;
import io.cherryspool.http.RequestHandler;
import io.cherryspool.model.MachineType;
import io.cherryspool.model.Resources;
import io.cherryspool.wire.CloudProtocol;
import io.cherryspool.wire.Json;
import io.cherryspool.wire.MalformedMessageException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * Fakes of the services that a node needs in its training run: a state store that grants every
 * transaction, a cloud with one instance, and the worker on it. They speak the wire's words. Used
 * on one event loop and, between its requests, by the thread that drives the run.
 */
final class TrainingServices implements RequestHandler {
  /** The zone of the one instance. */
  static final String ZONE = "none";

  private static final List<MachineType> TYPES =
      List.of(
          new MachineType(
              "box", new Resources(4, 0, 16), 50, 1, 1, 1, Duration.ofSeconds(1), List.of(ZONE)));

  private final Endpoint self;
  private final ArrayNode events = Json.array();
  private final List<CompletableFuture<Reply>> watches = new ArrayList<>();
  private final ArrayNode pieces = Json.array();
  private long revision = 1;
  private long sequence;
  private long token;

  /** Makes services that all listen at {@code self}. */
  TrainingServices(Endpoint self) {
    this.self = self;
  }

  /** Where all of the services listen. */
  Endpoint endpoint() {
    return self;
  }

  @Override
  public CompletableFuture<Reply> handle(Request request) {
    String path = request.path();
    try {
      return switch (path) {
        case "/keys" -> done(page("entries").put("epoch", revision));
        case "/follow" -> follow(request.target());
        case "/commit" -> commit(Json.parseObject(request.body()));
        case "/catalog" -> done(CloudProtocol.encodeCatalog(TYPES));
        case "/machines" -> done(request.method().equals("GET") ? instances() : noInstances());
        case "/commands" -> commands(Json.parseObject(request.body()));
        case "/inspect" -> done(workerHeartbeat());
        default -> done(Json.object().put("tenancy", 1));
      };
    } catch (MalformedMessageException e) {
      return CompletableFuture.completedFuture(Reply.json(400, new byte[0]));
    }
  }

  /** The worker's next heartbeat. */
  ObjectNode workerHeartbeat() {
    ObjectNode node = Json.object().put("spindle", "host-000001").put("endpoint", self.toString());
    node.put("build", "box").put("yard", ZONE).put("loaners", false);
    node.put("shift", 1).put("tick", ++sequence).put("baton", token);
    node.set("pieces", pieces.deepCopy());
    return node;
  }

  /** Keeps the fencing token of a reply to the worker, unless it knows a later one. */
  void receiveToken(JsonNode answer) {
    token = Math.max(token, answer.path("baton").longValue());
  }

  /** Marks all tasks of the worker as completed; false if it has none yet. */
  boolean completeTasks() {
    for (JsonNode piece : pieces) {
      ((ObjectNode) piece).put("status", "ended").put("cause", "done");
    }
    return !pieces.isEmpty();
  }

  private static ObjectNode page(String items) {
    ObjectNode page = Json.object().put("has_next", false);
    page.putArray(items);
    return page;
  }

  private static ObjectNode noInstances() {
    return page("spindles");
  }

  private ObjectNode instances() {
    ObjectNode page = page("spindles");
    ((ArrayNode) page.path("spindles"))
        .addObject()
        .put("ref", "host-000001")
        .put("endpoint", self.toString())
        .put("build", "box")
        .put("yard", ZONE)
        .put("loaners", false)
        .put("status", "running")
        .put("held_s", 10.0);
    return page;
  }

  private CompletableFuture<Reply> follow(String target) {
    if (target.endsWith("block_ms=0")) {
      return done(changes());
    }
    CompletableFuture<Reply> watch = new CompletableFuture<>();
    watches.add(watch);
    return watch;
  }

  /** All changes since the start; a node skips those that it has applied. */
  private ObjectNode changes() {
    ObjectNode changes = Json.object().put("epoch", revision);
    changes.set("events", events.deepCopy());
    return changes;
  }

  private CompletableFuture<Reply> commit(JsonNode body) {
    revision++;
    for (JsonNode change : body.path("apply")) {
      events.add(((ObjectNode) change).put("stamp", revision));
    }
    List<CompletableFuture<Reply>> due = List.copyOf(watches);
    watches.clear();
    due.forEach(watch -> watch.complete(Reply.json(200, Json.toBytes(changes()))));
    return done(Json.object().put("epoch", revision));
  }

  private CompletableFuture<Reply> commands(JsonNode body) {
    receiveToken(body);
    for (JsonNode order : body.path("orders")) {
      if (order.path("verb").asText().equals("launch")) {
        pieces
            .addObject()
            .put("piece", order.path("piece").asText())
            .put("try", order.path("try").intValue())
            .put("status", "running");
      }
    }
    return done(workerHeartbeat());
  }

  private static CompletableFuture<Reply> done(JsonNode body) {
    return CompletableFuture.completedFuture(Reply.json(200, Json.toBytes(body)));
  }
}
