package io.cherryspool.sim.fakes;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.cherryspool.http.Reply;
import io.cherryspool.http.Request;
import io.cherryspool.http.RequestHandler;
import io.cherryspool.lifecycle.EventLoop;
import io.cherryspool.wire.Json;
import io.cherryspool.wire.MalformedMessageException;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

/**
 * A stand-in for the state service: keys, leases, watches, conditional transactions. It can be
 * down, and now and then it applies a transaction without answering it, at once or much later.
 */
public final class FakeStateStore implements RequestHandler {
  private final EventLoop loop;
  private final RandomGenerator random;
  private final double late;
  private double heldBack;
  private double unanswered;
  private int slowMs;
  private Consumer<String> onPut = key -> {};
  private final TreeMap<String, Item> keys = new TreeMap<>();
  private final Map<Long, Lease> leases = new HashMap<>();
  private final List<ObjectNode> history = new ArrayList<>();
  private final List<Watch> watches = new ArrayList<>();
  private long revision;
  private long leaseCount;
  private boolean down;
  private long requests;
  private long changes;

  private double writeRate = Double.POSITIVE_INFINITY;
  private double writes;
  private Duration filled = Duration.ZERO;

  private record Item(JsonNode value, long version, long lease) {}

  private static final class Lease {
    private long ttlMs;
    private Duration until;
  }

  private record Watch(long after, String prefix, CompletableFuture<Reply> result) {}

  /** {@code late} is the share of transactions that get no answer. */
  public FakeStateStore(EventLoop loop, RandomGenerator random, double late) {
    this.loop = loop;
    this.random = random;
    this.late = late;
    expire();
  }

  public void setDown(boolean value) {
    if (down && !value) {
      leases.values().forEach(this::renew);
    }
    down = value;
    if (!down) {
      wake();
    }
  }

  /** Loses everything: keys, leases, and the count of changes; what was under way arrives later. */
  public void loseAllData() {
    restore(new Backup(new TreeMap<>(), Map.of(), List.of(), 0));
  }

  /** All that the service holds now, to be set back to later. */
  public Backup backup() {
    Map<Long, Long> ttls = new HashMap<>();
    leases.forEach((id, lease) -> ttls.put(id, lease.ttlMs));
    return new Backup(new TreeMap<>(keys), ttls, List.copyOf(history), revision);
  }

  /** What the service held at a moment. */
  public record Backup(
      TreeMap<String, Item> keys,
      Map<Long, Long> leases,
      List<ObjectNode> history,
      long revision) {}

  /** Is again as it was, with the leases of then, which have their full time. */
  public void restore(Backup saved) {
    keys.clear();
    keys.putAll(saved.keys);
    history.clear();
    history.addAll(saved.history);
    revision = saved.revision;
    leases.clear();
    saved.leases.forEach(
        (id, ttl) -> {
          Lease lease = new Lease();
          lease.ttlMs = ttl;
          renew(lease);
          leases.put(id, lease);
        });
    // Names of leases are not given out twice, or a late renewal would renew another's.
    wake();
  }

  /** So many of the transactions get no answer and are carried out 2 to 12 s later. */
  public void delayCommits(double share) {
    heldBack = share;
  }

  /** So many of the transactions are carried out at once, and only their answer is lost. */
  public void loseReplies(double share) {
    unanswered = share;
  }

  /** Above so many puts and deletes a second it answers 429; bursts of one second's worth pass. */
  public void limitWriteRate(double rate) {
    writeRate = rate;
    writes = rate;
    filled = loop.now();
  }

  private boolean mayWrite(int count) {
    Duration now = loop.now();
    writes = Math.min(writeRate, writes + writeRate * now.minus(filled).toNanos() / 1e9);
    filled = now;
    if (writes < count) {
      return false;
    }
    writes -= count;
    return true;
  }

  /** Each answer comes up to so much later; 0 ends it. */
  public void delayReplies(int millis) {
    slowMs = millis;
  }

  /** Told of each key as it is put. */
  public void onPut(Consumer<String> listener) {
    onPut = listener;
  }

  /** The value of a key, or null, for checks. */
  public JsonNode value(String key) {
    Item item = keys.get(key);
    return item == null ? null : item.value;
  }

  /** Whether any key ends so. */
  public boolean hasKeyEndingWith(String end) {
    return keys.keySet().stream().anyMatch(key -> key.endsWith(end));
  }

  @Override
  public CompletableFuture<Reply> handle(Request request) {
    CompletableFuture<Reply> answer = carryOut(request);
    if (slowMs == 0) {
      return answer;
    }
    Duration wait = Duration.ofMillis(random.nextLong(slowMs));
    CompletableFuture<Reply> late = new CompletableFuture<>();
    answer.thenAccept(reply -> loop.schedule(wait, () -> late.complete(reply)));
    return late;
  }

  /** How many requests were made. */
  public long requests() {
    return requests;
  }

  /** How many puts and deletes were carried out. */
  public long changes() {
    return changes;
  }

  private CompletableFuture<Reply> carryOut(Request request) {
    requests++;
    if (down) {
      return completedReply(503, Json.object().put("error", "trouble"));
    }
    String path = request.path();
    try {
      if (path.equals("/commit")) {
        return commit(Json.parseObject(request.body()));
      } else if (path.equals("/follow")) {
        return follow(request);
      } else if (path.equals("/keys")) {
        return list(request);
      } else if (path.equals("/leases")) {
        Lease lease = new Lease();
        lease.ttlMs = Json.parseObject(request.body()).path("ttl_ms").longValue();
        renew(lease);
        leases.put(++leaseCount, lease);
        return completedReply(200, Json.object().put("tenancy", leaseCount));
      } else if (path.startsWith("/leases/")) {
        return lease(request, path.substring("/leases/".length()));
      }
    } catch (MalformedMessageException e) {
      return completedReply(400, Json.object().put("error", e.getMessage()));
    }
    return completedReply(404, Json.object());
  }

  private CompletableFuture<Reply> lease(Request request, String rest) {
    boolean extend = rest.endsWith("/extend");
    long id = Long.parseLong(extend ? rest.substring(0, rest.indexOf('/')) : rest);
    Lease lease = leases.get(id);
    if (lease == null) {
      return completedReply(404, Json.object());
    }
    if (extend) {
      renew(lease);
    } else {
      end(id);
    }
    return completedReply(200, Json.object());
  }

  private CompletableFuture<Reply> commit(JsonNode body) {
    if (writeRate < Double.POSITIVE_INFINITY && !mayWrite(body.path("apply").size())) {
      return completedReply(429, Json.object().put("error", "too many writes"));
    }
    if (heldBack > 0 && random.nextDouble() < heldBack) {
      loop.schedule(Duration.ofMillis(2000 + random.nextLong(10_000)), () -> apply(body));
      return new CompletableFuture<>();
    }
    if (unanswered > 0 && random.nextDouble() < unanswered) {
      apply(body);
      return new CompletableFuture<>();
    }
    double luck = random.nextDouble();
    if (luck < late) {
      // Applied without an answer: at once, or after the sender has long given up.
      long delay = luck < late / 2 ? 0 : 1000 + random.nextLong(20_000);
      loop.schedule(Duration.ofMillis(delay), () -> apply(body));
      return new CompletableFuture<>();
    }
    return apply(body);
  }

  private CompletableFuture<Reply> apply(JsonNode body) {
    ArrayNode failed = Json.array();
    for (JsonNode condition : body.path("if")) {
      Item item = keys.get(condition.path("path").asText());
      long version = item == null ? 0 : item.version;
      if (version != condition.path("stamp").longValue()) {
        failed.add(condition.path("path").asText());
      }
    }
    for (JsonNode change : body.path("apply")) {
      long lease = change.path("tenancy").longValue();
      if (lease != 0 && !leases.containsKey(lease)) {
        return completedReply(400, Json.object().put("error", "no such lease"));
      }
    }
    if (!failed.isEmpty()) {
      ObjectNode answer = Json.object().put("epoch", revision);
      answer.set("failed", failed);
      return completedReply(409, answer);
    }
    revision++;
    changes += body.path("apply").size();
    for (JsonNode change : body.path("apply")) {
      if (change.has("delete")) {
        remove(change.path("delete").asText());
      } else {
        String key = change.path("put").asText();
        keys.put(key, new Item(change.path("v"), revision, change.path("tenancy").longValue()));
        ObjectNode event = Json.object().put("put", key).put("stamp", revision);
        event.set("v", change.path("v"));
        history.add(event);
        onPut.accept(key);
      }
    }
    wake();
    return completedReply(200, Json.object().put("epoch", revision));
  }

  private void remove(String key) {
    if (keys.remove(key) != null) {
      history.add(Json.object().put("delete", key).put("stamp", revision));
    }
  }

  private void end(long id) {
    leases.remove(id);
    revision++;
    List<String> attached = new ArrayList<>();
    keys.forEach(
        (key, item) -> {
          if (item.lease == id) {
            attached.add(key);
          }
        });
    attached.forEach(this::remove);
    wake();
  }

  private void renew(Lease lease) {
    lease.until = loop.now().plusMillis(lease.ttlMs);
  }

  private void expire() {
    loop.schedule(Duration.ofMillis(50), this::expire);
    if (!down) {
      List<Long> over = new ArrayList<>();
      leases.forEach(
          (id, lease) -> {
            if (lease.until.compareTo(loop.now()) < 0) {
              over.add(id);
            }
          });
      over.forEach(this::end);
    }
  }

  private CompletableFuture<Reply> list(Request request) {
    String prefix = queryParameter(request, "starts", "");
    String after = queryParameter(request, "from", "");
    int limit = Integer.parseInt(queryParameter(request, "limit", "1000"));
    ObjectNode answer = Json.object();
    ArrayNode items = answer.putArray("entries");
    boolean more = false;
    for (Map.Entry<String, Item> entry : keys.tailMap(after, false).entrySet()) {
      if (entry.getKey().startsWith(prefix)) {
        more = items.size() == limit;
        if (more) {
          break;
        }
        ObjectNode item = items.addObject().put("path", entry.getKey());
        item.set("v", entry.getValue().value);
        item.put("stamp", entry.getValue().version);
      }
    }
    return completedReply(200, answer.put("has_next", more).put("epoch", revision));
  }

  private CompletableFuture<Reply> follow(Request request) {
    long after = Long.parseLong(queryParameter(request, "from", "0"));
    long waitMs = Long.parseLong(queryParameter(request, "block_ms", "0"));
    Watch watch =
        new Watch(after, queryParameter(request, "starts", ""), new CompletableFuture<>());
    if (waitMs == 0 || since(watch).size() > 0) {
      answer(watch);
    } else {
      watches.add(watch);
      loop.schedule(Duration.ofMillis(waitMs), () -> timeOut(watch));
    }
    return watch.result;
  }

  private void timeOut(Watch watch) {
    if (!down && watches.remove(watch)) {
      answer(watch);
    }
  }

  private void wake() {
    if (down) {
      return;
    }
    for (Watch watch : List.copyOf(watches)) {
      if (since(watch).size() > 0) {
        watches.remove(watch);
        answer(watch);
      }
    }
  }

  private ArrayNode since(Watch watch) {
    ArrayNode events = Json.array();
    for (int i = history.size() - 1; i >= 0; i--) {
      ObjectNode event = history.get(i);
      if (event.path("stamp").longValue() <= watch.after) {
        break;
      }
      String key = event.has("put") ? event.path("put").asText() : event.path("delete").asText();
      if (key.startsWith(watch.prefix)) {
        events.insert(0, event);
      }
    }
    return events;
  }

  private void answer(Watch watch) {
    ObjectNode answer = Json.object().put("epoch", revision);
    answer.set("events", since(watch));
    watch.result.complete(Reply.json(200, Json.toBytes(answer)));
  }

  static String queryParameter(Request request, String name, String absent) {
    int mark = request.target().indexOf('?');
    if (mark >= 0) {
      for (String pair : request.target().substring(mark + 1).split("&")) {
        if (pair.startsWith(name + "=")) {
          return URLDecoder.decode(pair.substring(name.length() + 1), StandardCharsets.UTF_8);
        }
      }
    }
    return absent;
  }

  static CompletableFuture<Reply> completedReply(int status, JsonNode body) {
    return CompletableFuture.completedFuture(Reply.json(status, Json.toBytes(body)));
  }
}
