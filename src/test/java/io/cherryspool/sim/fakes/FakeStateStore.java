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
 * A working state store in memory: keys, leases, watches, compare-and-swap transactions. It can be
 * down, slow, rate limited or set back to an earlier state, and it can lose replies or apply
 * transactions late.
 *
 * <p>All methods must be called on the event loop.
 */
public final class FakeStateStore implements RequestHandler {
  private static final Duration EXPIRY_CHECK_INTERVAL = Duration.ofMillis(50);

  /** Transactions held back by {@link #delayCommits} are applied within these times. */
  private static final int HELD_BACK_MIN_MS = 2000;

  private static final int HELD_BACK_SPREAD_MS = 10_000;

  /** Transactions that get no reply by chance are applied at once, or within these times. */
  private static final int LATE_MIN_MS = 1000;

  private static final int LATE_SPREAD_MS = 20_000;

  private final EventLoop loop;
  private final RandomGenerator random;
  private final double unansweredShare;
  private final KeyValueStore store = new KeyValueStore();
  private final LeaseTable leases;
  private final WatchQueue watches;
  private Consumer<String> onPut = key -> {};
  private TokenBucket writeLimit;
  private double heldBackShare;
  private double lostReplyShare;
  private int maxReplyDelayMs;
  private boolean down;
  private long requestCount;
  private long changeCount;

  /** A copy of everything that the store held at a moment. */
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
   * @param unansweredShare the share of transactions that are applied, maybe late, and never
   *     answered
   */
  public FakeStateStore(EventLoop loop, RandomGenerator random, double unansweredShare) {
    this.loop = loop;
    this.random = random;
    this.unansweredShare = unansweredShare;
    this.leases = new LeaseTable(loop::now);
    this.watches = new WatchQueue(loop, store, () -> down);
    expireLeases();
  }

  /** While it is down, all requests are answered 503 and no lease expires. */
  public void setDown(boolean value) {
    if (down && !value) {
      leases.renewAll();
    }
    down = value;
    watches.answerReady();
  }

  /** Loses keys, leases and the revision; transactions under way are still applied. */
  public void loseAllData() {
    restore(new Backup(KeyValueStore.Contents.EMPTY, Map.of()));
  }

  /** Everything that the store holds now. */
  public Backup backup() {
    return new Backup(store.copy(), leases.copy());
  }

  /** Sets the store back. The leases of the backup get their whole time to live. */
  public void restore(Backup backup) {
    store.replaceWith(backup.contents);
    leases.replaceWith(backup.leases);
    watches.answerReady();
  }

  /** This share of the transactions is applied 2 to 12 s late and never answered; 0 for none. */
  public void delayCommits(double share) {
    heldBackShare = share;
  }

  /** This share of the transactions is applied at once and never answered; 0 for none. */
  public void loseReplies(double share) {
    lostReplyShare = share;
  }

  /** Transactions beyond so many puts and deletes a second are answered 429. */
  public void limitWriteRate(double ratePerSecond) {
    writeLimit = new TokenBucket(ratePerSecond, loop.now());
  }

  /** Each reply is delayed by a random time of up to so many milliseconds; 0 for none. */
  public void delayReplies(int maxMillis) {
    maxReplyDelayMs = maxMillis;
  }

  /** The listener is called with each key right after it was put. */
  public void onPut(Consumer<String> listener) {
    onPut = listener;
  }

  /** The value of a key; null where there is no such key. */
  public JsonNode value(String key) {
    return store.value(key);
  }

  public boolean hasKeyEndingWith(String suffix) {
    return store.hasKeyEndingWith(suffix);
  }

  /** How many requests have arrived. */
  public long requestCount() {
    return requestCount;
  }

  /** How many puts and deletes were applied. */
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
    CompletableFuture<Reply> delayed = new CompletableFuture<>();
    reply.thenAccept(value -> loop.schedule(delay, () -> delayed.complete(value)));
    return delayed;
  }

  private CompletableFuture<Reply> process(Request request) {
    requestCount++;
    if (down) {
      return completed(503, error("trouble"));
    }
    try {
      return route(request);
    } catch (MalformedMessageException e) {
      return completed(400, error(e.getMessage()));
    }
  }

  private CompletableFuture<Reply> route(Request request) throws MalformedMessageException {
    String path = request.path();
    return switch (path) {
      case "/commit" -> commit(Json.parseObject(request.body()));
      case "/follow" -> follow(request);
      case "/keys" -> list(request);
      case "/leases" -> grantLease(Json.parseObject(request.body()));
      default ->
          path.startsWith("/leases/")
              ? changeLease(path.substring("/leases/".length()))
              : completed(404, Json.object());
    };
  }

  private CompletableFuture<Reply> grantLease(JsonNode body) {
    long id = leases.grant(Duration.ofMillis(body.path("ttl_ms").longValue()));
    return completed(200, Json.object().put("tenancy", id));
  }

  /** Renews {@code ID/extend}, or revokes {@code ID}. */
  private CompletableFuture<Reply> changeLease(String rest) {
    boolean isRenewal = rest.endsWith("/extend");
    long id = Long.parseLong(isRenewal ? rest.substring(0, rest.indexOf('/')) : rest);
    if (!leases.contains(id)) {
      return completed(404, Json.object());
    }
    if (isRenewal) {
      leases.renew(id);
    } else {
      revoke(id);
    }
    return completed(200, Json.object());
  }

  private void revoke(long lease) {
    leases.remove(lease);
    store.removeAttached(lease);
    watches.answerReady();
  }

  private void expireLeases() {
    loop.schedule(EXPIRY_CHECK_INTERVAL, this::expireLeases);
    if (!down) {
      leases.expired().forEach(this::revoke);
    }
  }

  private CompletableFuture<Reply> commit(JsonNode body) {
    if (writeLimit != null && !writeLimit.tryTake(body.path("apply").size(), loop.now())) {
      return completed(429, error("too many writes"));
    }
    if (heldBackShare > 0 && random.nextDouble() < heldBackShare) {
      return applyLater(body, HELD_BACK_MIN_MS + random.nextLong(HELD_BACK_SPREAD_MS));
    }
    if (lostReplyShare > 0 && random.nextDouble() < lostReplyShare) {
      apply(body);
      return new CompletableFuture<>();
    }
    double luck = random.nextDouble();
    if (luck < unansweredShare) {
      // Half of them only after the sender has long given up.
      boolean isAppliedAtOnce = luck < unansweredShare / 2;
      return applyLater(body, isAppliedAtOnce ? 0 : LATE_MIN_MS + random.nextLong(LATE_SPREAD_MS));
    }
    return apply(body);
  }

  private CompletableFuture<Reply> applyLater(JsonNode body, long delayMs) {
    loop.schedule(Duration.ofMillis(delayMs), () -> apply(body));
    return new CompletableFuture<>();
  }

  private CompletableFuture<Reply> apply(JsonNode body) {
    JsonNode changes = body.path("apply");
    ArrayNode failed = store.failedConditions(body.path("if"));
    for (JsonNode change : changes) {
      long lease = change.path("tenancy").longValue();
      if (lease != 0 && !leases.contains(lease)) {
        return completed(400, error("no such lease"));
      }
    }
    if (!failed.isEmpty()) {
      ObjectNode conflict = Json.object().put("epoch", store.revision());
      conflict.set("failed", failed);
      return completed(409, conflict);
    }
    changeCount += changes.size();
    store.apply(changes, onPut);
    watches.answerReady();
    return completed(200, Json.object().put("epoch", store.revision()));
  }

  private CompletableFuture<Reply> list(Request request) {
    String prefix = queryParameter(request, "starts", "");
    String after = queryParameter(request, "from", "");
    int limit = Integer.parseInt(queryParameter(request, "limit", "1000"));
    return completed(200, store.page(prefix, after, limit));
  }

  private CompletableFuture<Reply> follow(Request request) {
    long after = Long.parseLong(queryParameter(request, "from", "0"));
    long waitMs = Long.parseLong(queryParameter(request, "block_ms", "0"));
    return watches.follow(after, queryParameter(request, "starts", ""), Duration.ofMillis(waitMs));
  }

  private static String queryParameter(Request request, String name, String absent) {
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

  private static ObjectNode error(String message) {
    return Json.object().put("error", message);
  }

  private static CompletableFuture<Reply> completed(int status, JsonNode body) {
    return CompletableFuture.completedFuture(Reply.json(status, Json.toBytes(body)));
  }
}
