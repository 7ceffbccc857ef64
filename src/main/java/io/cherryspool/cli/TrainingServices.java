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
 * Fakes of the services that a node needs in its training run: a state store that commits every
 * transaction, a cloud with one instance, and the worker on this instance. Field names are those of
 * the protocols; see the package {@code wire}. Used on a single event loop and, between requests,
 * by the thread that performs the training run.
 */
final class TrainingServices implements RequestHandler {
  /** The zone of the instance. */
  static final String ZONE = "none";

  private static final List<MachineType> TYPES =
      List.of(
          new MachineType(
              "box", new Resources(4, 0, 16), 50, 1, 1, 1, Duration.ofSeconds(1), List.of(ZONE)));

  private final Endpoint self;
  private final ArrayNode events = Json.array();
  private final List<CompletableFuture<Reply>> watches = new ArrayList<>();
  private final ArrayNode tasks = Json.array();
  private long revision = 1;
  private long sequence;
  private long token;

  /** Creates services that all listen at {@code self}. */
  TrainingServices(Endpoint self) {
    this.self = self;
  }

  /** Returns the address at which all services listen. */
  Endpoint endpoint() {
    return self;
  }

  @Override
  public CompletableFuture<Reply> handle(Request request) {
    String path = request.path();
    try {
      return switch (path) {
        case "/keys" -> ok(emptyPage("entries").put("epoch", revision));
        case "/follow" -> watch(request.target());
        case "/commit" -> commitTransaction(Json.parseObject(request.body()));
        case "/catalog" -> ok(CloudProtocol.encodeCatalog(TYPES));
        case "/machines" ->
            ok(request.method().equals("GET") ? instancePage() : emptyInstancePage());
        case "/commands" -> executeCommands(Json.parseObject(request.body()));
        case "/inspect" -> ok(workerHeartbeat());
        default -> ok(Json.object().put("tenancy", 1));
      };
    } catch (MalformedMessageException e) {
      return CompletableFuture.completedFuture(Reply.json(400, new byte[0]));
    }
  }

  /** Returns the worker's next heartbeat. */
  ObjectNode workerHeartbeat() {
    ObjectNode node = Json.object().put("spindle", "host-000001").put("endpoint", self.toString());
    node.put("build", "box").put("yard", ZONE).put("loaners", false);
    node.put("shift", 1).put("tick", ++sequence).put("baton", token);
    node.set("pieces", tasks.deepCopy());
    return node;
  }

  /** Stores the fencing token of a message to the worker, unless the worker has a later one. */
  void receiveToken(JsonNode message) {
    token = Math.max(token, message.path("baton").longValue());
  }

  /** Marks all tasks of the worker as completed; returns false if the worker has none yet. */
  boolean completeTasks() {
    for (JsonNode task : tasks) {
      ((ObjectNode) task).put("status", "ended").put("cause", "done");
    }
    return !tasks.isEmpty();
  }

  private static ObjectNode emptyPage(String items) {
    ObjectNode page = Json.object().put("has_next", false);
    page.putArray(items);
    return page;
  }

  private static ObjectNode emptyInstancePage() {
    return emptyPage("spindles");
  }

  private ObjectNode instancePage() {
    ObjectNode page = emptyPage("spindles");
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

  private CompletableFuture<Reply> watch(String target) {
    if (target.endsWith("block_ms=0")) {
      return ok(changes());
    }
    CompletableFuture<Reply> watch = new CompletableFuture<>();
    watches.add(watch);
    return watch;
  }

  /** Returns all changes since the start; a node skips those that it has already applied. */
  private ObjectNode changes() {
    ObjectNode changes = Json.object().put("epoch", revision);
    changes.set("events", events.deepCopy());
    return changes;
  }

  private CompletableFuture<Reply> commitTransaction(JsonNode body) {
    revision++;
    for (JsonNode change : body.path("apply")) {
      events.add(((ObjectNode) change).put("stamp", revision));
    }
    List<CompletableFuture<Reply>> due = List.copyOf(watches);
    watches.clear();
    due.forEach(watch -> watch.complete(Reply.json(200, Json.toBytes(changes()))));
    return ok(Json.object().put("epoch", revision));
  }

  private CompletableFuture<Reply> executeCommands(JsonNode body) {
    receiveToken(body);
    for (JsonNode command : body.path("orders")) {
      if (command.path("verb").asText().equals("launch")) {
        tasks
            .addObject()
            .put("piece", command.path("piece").asText())
            .put("try", command.path("try").intValue())
            .put("status", "running");
      }
    }
    return ok(workerHeartbeat());
  }

  private static CompletableFuture<Reply> ok(JsonNode body) {
    return CompletableFuture.completedFuture(Reply.json(200, Json.toBytes(body)));
  }
}
