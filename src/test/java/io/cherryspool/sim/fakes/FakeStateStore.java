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
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

/**
 * A fake state store in memory with keys, leases, watches and compare-and-swap transactions. Tests
 * can make it unavailable, slow or rate limited, restore an earlier state, make it lose replies, or
 * make it apply transactions late.
 *
 * <p>All methods must be called on the event loop.
 */
public final class FakeStateStore implements RequestHandler {
  private static final Duration EXPIRY_CHECK_INTERVAL = Duration.ofMillis(50);

  /** The delay of transactions selected by {@link #delayCommits}: minimum and random spread. */
  private static final int DELAYED_COMMIT_MIN_MS = 2000;

  private static final int DELAYED_COMMIT_SPREAD_MS = 10_000;

  /** The delay of unanswered transactions that are applied late: minimum and random spread. */
  private static final int LATE_COMMIT_MIN_MS = 1000;

  private static final int LATE_COMMIT_SPREAD_MS = 20_000;

  private final EventLoop loop;
  private final RandomGenerator random;
  private final double unansweredProbability;
  private final KeyValueStore store = new KeyValueStore();
  private final LeaseTable leases;
  private final WatchQueue watches;
  private Consumer<String> onPut = key -> {};
  private TokenBucket writeLimit;
  private double delayedCommitProbability;
  private double lostReplyProbability;
  private int maxReplyDelayMs;
  private boolean isDown;
  private long requestCount;
  private long changeCount;

  /** A copy of the complete contents of the store at some moment. */
  public static final class Backup {
    private final KeyValueStore.Contents contents;
    private final Map<Long, Duration> leases;

    private Backup(KeyValueStore.Contents contents, Map<Long, Duration> leases) {
      this.contents = contents;
      this.leases = leases;
    }
  }

  /**
   * Creates the fake state store.
   *
   * @param unansweredProbability the probability of applying a transaction, immediately or late,
   *     without a reply
   */
  public FakeStateStore(EventLoop loop, RandomGenerator random, double unansweredProbability) {
    this.loop = loop;
    this.random = random;
    this.unansweredProbability = unansweredProbability;
    this.leases = new LeaseTable(loop::now);
    this.watches = new WatchQueue(loop, store, () -> isDown);
    revokeExpiredLeases();
  }

  /** Sets whether the store is down. While it is, requests get a 503 reply and no lease expires. */
  public void setDown(boolean value) {
    if (isDown && !value) {
      leases.renewAll();
    }
    isDown = value;
    watches.completeReady();
  }

  /** Loses all keys, leases and the revision. Delayed transactions are still applied afterwards. */
  public void loseAllData() {
    restore(new Backup(KeyValueStore.Contents.EMPTY, Map.of()));
  }

  /** Returns a copy of the current contents. */
  public Backup backup() {
    return new Backup(store.copy(), leases.copy());
  }

  /** Restores a backup. The leases of the backup get their full time to live. */
  public void restore(Backup backup) {
    store.replaceWith(backup.contents);
    leases.replaceWith(backup.leases);
    watches.completeReady();
  }

  /** Sets how probably a transaction is applied 2 to 12 s late, without a reply; 0 for never. */
  public void delayCommits(double probability) {
    delayedCommitProbability = probability;
  }

  /** Sets how probably a transaction is applied immediately, without a reply; 0 for never. */
  public void loseReplies(double probability) {
    lostReplyProbability = probability;
  }

  /** Limits the rate of puts and deletes. Transactions beyond it get a 429 reply. */
  public void limitWriteRate(double ratePerSecond) {
    writeLimit = new TokenBucket(ratePerSecond, loop.now());
  }

  /** Delays each reply by a random time of less than {@code maxMillis}; 0 for no delay. */
  public void delayReplies(int maxMillis) {
    maxReplyDelayMs = maxMillis;
  }

  /** Sets the listener that is called with each key immediately after it was put. */
  public void onPut(Consumer<String> listener) {
    onPut = listener;
  }

  /** Returns the value of a key; null if there is no such key. */
  public JsonNode value(String key) {
    return store.value(key);
  }

  public boolean hasKeyEndingWith(String suffix) {
    return store.hasKeyEndingWith(suffix);
  }

  /** Returns the number of received requests. */
  public long requestCount() {
    return requestCount;
  }

  /** Returns the number of applied puts and deletes. */
  public long changeCount() {
    return changeCount;
  }

  @Override
  public CompletableFuture<Reply> handle(Request request) {
    CompletableFuture<Reply> reply = process(request);
    if (maxReplyDelayMs == 0) {
      return reply;
    }
    Duration delay = Duration.ofMillis(random.nextLong(maxReplyDelayMs));
    CompletableFuture<Reply> delayedReply = new CompletableFuture<>();
    reply.thenAccept(value -> loop.schedule(delay, () -> delayedReply.complete(value)));
    return delayedReply;
  }

  private CompletableFuture<Reply> process(Request request) {
    requestCount++;
    if (isDown) {
      return completedReply(503, errorBody("trouble"));
    }
    try {
      return route(request);
    } catch (MalformedMessageException e) {
      return completedReply(400, errorBody(e.getMessage()));
    }
  }

  private CompletableFuture<Reply> route(Request request) throws MalformedMessageException {
    String path = request.path();
    return switch (path) {
      case "/commit" -> commit(Json.parseObject(request.body()));
      case "/follow" -> watch(request);
      case "/keys" -> listKeys(request);
      case "/leases" -> grantLease(Json.parseObject(request.body()));
      default ->
          path.startsWith("/leases/")
              ? renewOrRevokeLease(path.substring("/leases/".length()))
              : completedReply(404, Json.object());
    };
  }

  private CompletableFuture<Reply> grantLease(JsonNode body) {
    long id = leases.grant(Duration.ofMillis(body.path("ttl_ms").longValue()));
    return completedReply(200, Json.object().put("tenancy", id));
  }

  /** Renews the lease of a path {@code ID/extend}, or revokes the lease of a path {@code ID}. */
  private CompletableFuture<Reply> renewOrRevokeLease(String path) {
    boolean isRenewal = path.endsWith("/extend");
    long id = Long.parseLong(isRenewal ? path.substring(0, path.indexOf('/')) : path);
    if (!leases.contains(id)) {
      return completedReply(404, Json.object());
    }
    if (isRenewal) {
      leases.renew(id);
    } else {
      revokeLease(id);
    }
    return completedReply(200, Json.object());
  }

  private void revokeLease(long lease) {
    leases.remove(lease);
    store.removeKeysOfLease(lease);
    watches.completeReady();
  }

  private void revokeExpiredLeases() {
    loop.schedule(EXPIRY_CHECK_INTERVAL, this::revokeExpiredLeases);
    if (!isDown) {
      leases.expiredIds().forEach(this::revokeLease);
    }
  }

  private CompletableFuture<Reply> commit(JsonNode body) {
    if (writeLimit != null && !writeLimit.tryTake(body.path("apply").size(), loop.now())) {
      return completedReply(429, errorBody("too many writes"));
    }
    if (delayedCommitProbability > 0 && random.nextDouble() < delayedCommitProbability) {
      return applyLater(body, DELAYED_COMMIT_MIN_MS + random.nextLong(DELAYED_COMMIT_SPREAD_MS));
    }
    if (lostReplyProbability > 0 && random.nextDouble() < lostReplyProbability) {
      apply(body);
      return new CompletableFuture<>();
    }
    double draw = random.nextDouble();
    if (draw < unansweredProbability) {
      // Half of these transactions are applied late, possibly after the request has timed out.
      boolean isAppliedAtOnce = draw < unansweredProbability / 2;
      return applyLater(
          body, isAppliedAtOnce ? 0 : LATE_COMMIT_MIN_MS + random.nextLong(LATE_COMMIT_SPREAD_MS));
    }
    return apply(body);
  }

  private CompletableFuture<Reply> applyLater(JsonNode body, long delayMs) {
    loop.schedule(Duration.ofMillis(delayMs), () -> apply(body));
    return new CompletableFuture<>();
  }

  private CompletableFuture<Reply> apply(JsonNode body) {
    JsonNode changes = body.path("apply");
    ArrayNode failedConditions = store.failedConditions(body.path("if"));
    for (JsonNode change : changes) {
      long lease = change.path("tenancy").longValue();
      if (lease != 0 && !leases.contains(lease)) {
        return completedReply(400, errorBody("no such lease"));
      }
    }
    if (!failedConditions.isEmpty()) {
      ObjectNode conflict = Json.object().put("epoch", store.revision());
      conflict.set("failed", failedConditions);
      return completedReply(409, conflict);
    }
    changeCount += changes.size();
    store.apply(changes, onPut);
    watches.completeReady();
    return completedReply(200, Json.object().put("epoch", store.revision()));
  }

  private CompletableFuture<Reply> listKeys(Request request) {
    String prefix = queryParameter(request, "starts", "");
    String afterKey = queryParameter(request, "from", "");
    int limit = Integer.parseInt(queryParameter(request, "limit", "1000"));
    return completedReply(200, store.page(prefix, afterKey, limit));
  }

  private CompletableFuture<Reply> watch(Request request) {
    long after = Long.parseLong(queryParameter(request, "from", "0"));
    long waitMs = Long.parseLong(queryParameter(request, "block_ms", "0"));
    return watches.watch(after, queryParameter(request, "starts", ""), Duration.ofMillis(waitMs));
  }

  private static String queryParameter(Request request, String name, String defaultValue) {
    int queryStart = request.target().indexOf('?');
    if (queryStart >= 0) {
      for (String pair : request.target().substring(queryStart + 1).split("&")) {
        if (pair.startsWith(name + "=")) {
          return URLDecoder.decode(pair.substring(name.length() + 1), StandardCharsets.UTF_8);
        }
      }
    }
    return defaultValue;
  }

  private static ObjectNode errorBody(String message) {
    return Json.object().put("error", message);
  }

  private static CompletableFuture<Reply> completedReply(int status, JsonNode body) {
    return CompletableFuture.completedFuture(Reply.json(status, Json.toBytes(body)));
  }
}
