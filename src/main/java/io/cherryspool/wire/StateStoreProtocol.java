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

/** Encodes requests to the state store and decodes its responses. */
public final class StateStoreProtocol {
  /**
   * Bound in bytes on the values of one transaction, with {@link #CHANGE_OVERHEAD_BYTES} for each
   * change. The store accepts 64 KiB in all; the rest is left for keys and conditions.
   */
  public static final int MAX_TRANSACTION_VALUE_BYTES = 56_000;

  /** Bytes that one change may add to a transaction beside its value. */
  public static final int CHANGE_OVERHEAD_BYTES = 300;

  private static final String WATCH_TARGET = "/follow?";
  private static final String WATCH_WAIT = "&block_ms=";

  private StateStoreProtocol() {}

  /**
   * One change of a transaction.
   *
   * @param value the key's new value, null to delete the key
   * @param leaseId the lease that the key is attached to, 0 for none
   */
  public record Change(String key, JsonNode value, long leaseId) {}

  /**
   * A key's state, or its deletion.
   *
   * @param value the key's value, null if it was deleted
   * @param version the store's revision at the key's last change
   */
  public record Event(String key, JsonNode value, long version) {}

  /**
   * The changes of a key range after some revision.
   *
   * @param revision the revision up to which the events are complete
   */
  public record WatchResult(List<Event> events, long revision) {}

  /**
   * One page of a key range, in the order of the keys.
   *
   * @param hasMore whether another page follows, which begins after the last key of this one
   * @param revision the store's revision at which the page was read
   */
  public record KeyPage(List<Event> entries, boolean hasMore, long revision) {}

  /**
   * A compare-and-swap transaction: all changes, if every condition holds, else none.
   *
   * @param conditions the version that each key must have, 0 for one that must not exist
   * @param changes the changes to apply; without any the transaction only compares
   */
  public static Request transactionRequest(Map<String, Long> conditions, List<Change> changes) {
    ObjectNode node = Json.object();
    ArrayNode guards = node.putArray(ProtocolFields.CONDITIONS);
    conditions.forEach(
        (key, version) ->
            guards.addObject().put(ProtocolFields.KEY, key).put(ProtocolFields.VERSION, version));
    ArrayNode list = node.putArray(ProtocolFields.CHANGES);
    for (Change change : changes) {
      encodeChange(change, list.addObject());
    }
    return Request.post("/commit", Json.toBytes(node));
  }

  private static void encodeChange(Change change, ObjectNode node) {
    if (change.value() == null) {
      node.put(ProtocolFields.DELETE, change.key());
      return;
    }
    node.put(ProtocolFields.PUT, change.key());
    node.set(ProtocolFields.VALUE, change.value());
    if (change.leaseId() != 0) {
      node.put(ProtocolFields.LEASE_ID, change.leaseId());
    }
  }

  /** Whether the request waits for changes, so that its response may come late. */
  public static boolean isWatch(Request request) {
    return request.target().startsWith(WATCH_TARGET) && !request.target().endsWith(WATCH_WAIT + 0);
  }

  /** The store's revision that a response carries. */
  public static long parseRevision(JsonNode node) throws MalformedMessageException {
    return Json.requiredInteger(node, ProtocolFields.REVISION, 0, Long.MAX_VALUE);
  }

  /** The keys whose conditions did not hold, from the response to a transaction that failed. */
  public static Set<String> parseFailedKeys(JsonNode node) throws MalformedMessageException {
    return new HashSet<>(Json.requiredTexts(node, ProtocolFields.FAILED_KEYS));
  }

  /**
   * The request for one page of a key range.
   *
   * @param after the last key of the page before, null for the first page
   * @param limit the most keys in the page, at most 1000
   */
  public static Request listRequest(String prefix, String after, int limit) {
    String from = after == null ? "" : "&from=" + encode(after);
    return Request.get("/keys?starts=" + encode(prefix) + from + "&limit=" + limit);
  }

  /** Decodes one page of a key range. */
  public static KeyPage parsePage(JsonNode node) throws MalformedMessageException {
    List<Event> items = new ArrayList<>();
    for (JsonNode item : node.path(ProtocolFields.ENTRIES)) {
      items.add(
          new Event(
              Json.requiredText(item, ProtocolFields.KEY),
              item.path(ProtocolFields.VALUE),
              parseVersion(item)));
    }
    return new KeyPage(
        items, node.path(ProtocolFields.HAS_MORE).asBoolean(false), parseRevision(node));
  }

  /**
   * The request for the changes of a key range.
   *
   * @param after the revision after which changes are wanted
   * @param wait how long the store waits for a change, zero to answer at once
   */
  public static Request watchRequest(String prefix, long after, Duration wait) {
    return Request.get(
        WATCH_TARGET
            + "starts="
            + encode(prefix)
            + "&from="
            + after
            + WATCH_WAIT
            + wait.toMillis());
  }

  /** Decodes the response to a watch. */
  public static WatchResult parseChanges(JsonNode node) throws MalformedMessageException {
    List<Event> events = new ArrayList<>();
    for (JsonNode item : node.path(ProtocolFields.EVENTS)) {
      events.add(parseEvent(item));
    }
    return new WatchResult(events, parseRevision(node));
  }

  private static Event parseEvent(JsonNode node) throws MalformedMessageException {
    long version = parseVersion(node);
    if (node.has(ProtocolFields.DELETE)) {
      return new Event(Json.requiredText(node, ProtocolFields.DELETE), null, version);
    }
    return new Event(
        Json.requiredText(node, ProtocolFields.PUT), node.path(ProtocolFields.VALUE), version);
  }

  private static long parseVersion(JsonNode node) throws MalformedMessageException {
    return Json.requiredInteger(node, ProtocolFields.VERSION, 0, Long.MAX_VALUE);
  }

  /** The request for a new lease with this time to live. */
  public static Request grantLeaseRequest(Duration timeToLive) {
    ObjectNode node = Json.object().put(ProtocolFields.LEASE_MILLIS, timeToLive.toMillis());
    return Request.post("/leases", Json.toBytes(node));
  }

  /** The id of the lease granted, from the response. */
  public static long parseLeaseId(JsonNode node) throws MalformedMessageException {
    return Json.requiredInteger(node, ProtocolFields.LEASE_ID, 1, Long.MAX_VALUE);
  }

  /** The request that gives a lease its full time to live again. */
  public static Request renewLeaseRequest(long leaseId) {
    return Request.post("/leases/" + leaseId + "/extend", new byte[0]);
  }

  /** The request that ends a lease at once, with the keys attached to it. */
  public static Request revokeLeaseRequest(long leaseId) {
    return Request.delete("/leases/" + leaseId);
  }

  /** The text for a query, in which the store takes slashes as they are. */
  private static String encode(String text) {
    return URLEncoder.encode(text, StandardCharsets.UTF_8).replace("%2F", "/");
  }
}
