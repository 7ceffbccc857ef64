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
   * The maximum size in bytes of all values of one transaction, including {@link
   * #CHANGE_OVERHEAD_BYTES} for each change. The store accepts transactions of up to 64 KiB; the
   * difference is reserved for keys and conditions.
   */
  public static final int MAX_TRANSACTION_VALUE_BYTES = 56_000;

  /** The bytes to reserve for each change of a transaction in addition to its value. */
  public static final int CHANGE_OVERHEAD_BYTES = 300;

  private static final String WATCH_TARGET = "/follow?";
  private static final String WATCH_WAIT_PARAMETER = "&block_ms=";

  private StateStoreProtocol() {}

  /**
   * One change of a transaction: sets or deletes a key.
   *
   * @param value the key's new value; null to delete the key
   * @param leaseId the lease to attach the key to; 0 for none
   */
  public record Change(String key, JsonNode value, long leaseId) {}

  /**
   * The state of a key after its last change, which may be its deletion.
   *
   * @param value the key's value; null if the key was deleted
   * @param version the revision of the store that last changed the key
   */
  public record Event(String key, JsonNode value, long version) {}

  /**
   * The result of a watch: the events of its keys after the revision that the request contains.
   *
   * @param revision the revision of the store up to which all events are included
   */
  public record WatchResult(List<Event> events, long revision) {}

  /**
   * One page of the keys with a prefix, ordered by key.
   *
   * @param hasMore whether another page follows; it begins after the last key of this page
   * @param revision the revision of the store at which the page was read
   */
  public record KeyPage(List<Event> entries, boolean hasMore, long revision) {}

  /**
   * Returns the request for a compare-and-swap transaction. The store applies all changes if every
   * condition holds, and none otherwise.
   *
   * @param conditions the version that each key must have; 0 if the key must not exist
   * @param changes the changes to apply; if empty, the transaction only checks the conditions
   */
  public static Request transactionRequest(Map<String, Long> conditions, List<Change> changes) {
    ObjectNode node = Json.object();
    ArrayNode conditionNodes = node.putArray(ProtocolFields.CONDITIONS);
    conditions.forEach(
        (key, version) ->
            conditionNodes
                .addObject()
                .put(ProtocolFields.KEY, key)
                .put(ProtocolFields.VERSION, version));
    ArrayNode changeNodes = node.putArray(ProtocolFields.CHANGES);
    for (Change change : changes) {
      encodeChange(change, changeNodes.addObject());
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

  /**
   * Whether the request is a watch that waits for a change. The response to such a request may come
   * late.
   */
  public static boolean isWatch(Request request) {
    return request.target().startsWith(WATCH_TARGET)
        && !request.target().endsWith(WATCH_WAIT_PARAMETER + 0);
  }

  /** Returns the revision of the store that a response contains. */
  public static long parseRevision(JsonNode node) throws MalformedMessageException {
    return Json.requiredInteger(node, ProtocolFields.REVISION, 0, Long.MAX_VALUE);
  }

  /** Returns the keys whose conditions did not hold, from the response to a failed transaction. */
  public static Set<String> parseFailedKeys(JsonNode node) throws MalformedMessageException {
    return new HashSet<>(Json.requiredTexts(node, ProtocolFields.FAILED_KEYS));
  }

  /**
   * Returns the request for one page of the keys with the given prefix.
   *
   * @param after the last key of the previous page; null for the first page
   * @param limit the maximum number of keys in the page, at most 1000
   */
  public static Request listRequest(String prefix, String after, int limit) {
    String from = after == null ? "" : "&from=" + urlEncode(after);
    return Request.get("/keys?starts=" + urlEncode(prefix) + from + "&limit=" + limit);
  }

  /** Decodes one page of the keys with a prefix. */
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
   * Returns the request that watches the keys with the given prefix.
   *
   * @param after the revision after which changes are requested
   * @param wait how long the store waits for a change before it responds without any; zero for an
   *     immediate response
   */
  public static Request watchRequest(String prefix, long after, Duration wait) {
    return Request.get(
        WATCH_TARGET
            + "starts="
            + urlEncode(prefix)
            + "&from="
            + after
            + WATCH_WAIT_PARAMETER
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

  /** Returns the request for a new lease with the given time to live. */
  public static Request grantLeaseRequest(Duration timeToLive) {
    ObjectNode node = Json.object().put(ProtocolFields.LEASE_MILLIS, timeToLive.toMillis());
    return Request.post("/leases", Json.toBytes(node));
  }

  /** Returns the id of the granted lease from the response to a lease request. */
  public static long parseLeaseId(JsonNode node) throws MalformedMessageException {
    return Json.requiredInteger(node, ProtocolFields.LEASE_ID, 1, Long.MAX_VALUE);
  }

  /** Returns the request that renews a lease for its full time to live. */
  public static Request renewLeaseRequest(long leaseId) {
    return Request.post("/leases/" + leaseId + "/extend", new byte[0]);
  }

  /** Returns the request that revokes a lease, which also deletes the keys attached to it. */
  public static Request revokeLeaseRequest(long leaseId) {
    return Request.delete("/leases/" + leaseId);
  }

  /** URL-encodes the text of a query parameter, except for slashes, which the store accepts. */
  private static String urlEncode(String text) {
    return URLEncoder.encode(text, StandardCharsets.UTF_8).replace("%2F", "/");
  }
}
