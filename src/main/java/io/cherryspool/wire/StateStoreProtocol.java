package io.cherryspool.wire;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.cherryspool.http.Request;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** The state service's requests and answers. */
public final class StateStoreProtocol {
  /**
   * What the values of a transaction may take together, with {@link #CHANGE_OVERHEAD_BYTES} for
   * each: the service takes 64 KiB, of which keys and conditions need the rest.
   */
  public static final int MAX_TRANSACTION_VALUE_BYTES = 56_000;

  /** What a change takes beside its value. */
  public static final int CHANGE_OVERHEAD_BYTES = 300;

  private static final String FOLLOW = "/follow?";
  private static final String BLOCK = "&block_ms=";

  private StateStoreProtocol() {}

  /** One change: a put, or with a null value a delete; a lease of 0 attaches to none. */
  public record Change(String key, JsonNode value, long leaseId) {}

  /** A key's state, or with a null value its removal. */
  public record Event(String key, JsonNode value, long version) {}

  /** Changes after a revision, up to {@code revision}. */
  public record WatchResult(List<Event> events, long revision) {}

  /** One page of keys. */
  public record KeyPage(List<Event> items, boolean hasMore, long revision) {}

  public static Request transactionRequest(Map<String, Long> conditions, List<Change> changes) {
    ObjectNode node = Json.object();
    ArrayNode guard = node.putArray("if");
    conditions.forEach((key, version) -> guard.addObject().put("path", key).put("stamp", version));
    ArrayNode apply = node.putArray("apply");
    for (Change change : changes) {
      if (change.value() == null) {
        apply.addObject().put("delete", change.key());
      } else {
        ObjectNode put = apply.addObject().put("put", change.key());
        put.set("v", change.value());
        if (change.leaseId() != 0) {
          put.put("tenancy", change.leaseId());
        }
      }
    }
    return Request.post("/commit", Json.toBytes(node));
  }

  /** Whether the request waits for changes, so that its answer may come late. */
  public static boolean isWatch(Request request) {
    return request.target().startsWith(FOLLOW) && !request.target().endsWith(BLOCK + 0);
  }

  public static long parseRevision(JsonNode node) throws MalformedMessageException {
    return Json.integer(node, "epoch", 0, Long.MAX_VALUE);
  }

  public static Set<String> parseFailedKeys(JsonNode node) throws MalformedMessageException {
    return new HashSet<>(Json.texts(node, "failed"));
  }

  public static Request listRequest(String prefix, String after, int limit) {
    String from = after == null ? "" : "&from=" + encode(after);
    return Request.get("/keys?starts=" + encode(prefix) + from + "&limit=" + limit);
  }

  public static KeyPage parsePage(JsonNode node) throws MalformedMessageException {
    List<Event> items = new ArrayList<>();
    for (JsonNode item : node.path("entries")) {
      items.add(
          new Event(
              Json.text(item, "path"),
              item.path("v"),
              Json.integer(item, "stamp", 0, Long.MAX_VALUE)));
    }
    return new KeyPage(items, node.path("has_next").asBoolean(false), parseRevision(node));
  }

  public static Request watchRequest(String prefix, long after, Duration wait) {
    return Request.get(
        FOLLOW + "starts=" + encode(prefix) + "&from=" + after + BLOCK + wait.toMillis());
  }

  public static WatchResult parseChanges(JsonNode node) throws MalformedMessageException {
    List<Event> events = new ArrayList<>();
    for (JsonNode item : node.path("events")) {
      long version = Json.integer(item, "stamp", 0, Long.MAX_VALUE);
      if (item.has("delete")) {
        events.add(new Event(Json.text(item, "delete"), null, version));
      } else {
        events.add(new Event(Json.text(item, "put"), item.path("v"), version));
      }
    }
    return new WatchResult(events, parseRevision(node));
  }

  public static Request grantLeaseRequest(Duration ttl) {
    return Request.post("/leases", Json.toBytes(Json.object().put("ttl_ms", ttl.toMillis())));
  }

  public static long parseLeaseId(JsonNode node) throws MalformedMessageException {
    return Json.integer(node, "tenancy", 1, Long.MAX_VALUE);
  }

  public static Request renewLeaseRequest(long lease) {
    return Request.post("/leases/" + lease + "/extend", new byte[0]);
  }

  public static Request revokeLeaseRequest(long lease) {
    return Request.delete("/leases/" + lease);
  }

  private static String encode(String text) {
    return URLEncoder.encode(text, StandardCharsets.UTF_8).replace("%2F", "/");
  }
}
