package io.cherryspool.sim.fakes;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.cherryspool.wire.Json;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;

/**
 * The keys of a {@link FakeStateStore} with their versions, and the events of all revisions in the
 * format of the protocol.
 */
final class KeyValueStore {
  private final TreeMap<String, Item> items = new TreeMap<>();
  private final List<ObjectNode> events = new ArrayList<>();
  private long revision;

  /** A key's value, the revision that wrote the value, and the lease of the key; 0 for none. */
  private record Item(JsonNode value, long version, long lease) {}

  /** An immutable copy of the complete contents of the store. */
  static final class Contents {
    /** The contents of a new store. */
    static final Contents EMPTY = new Contents(Map.of(), List.of(), 0);

    private final Map<String, Item> items;
    private final List<ObjectNode> events;
    private final long revision;

    private Contents(Map<String, Item> items, List<ObjectNode> events, long revision) {
      this.items = items;
      this.events = events;
      this.revision = revision;
    }
  }

  Contents copy() {
    return new Contents(new TreeMap<>(items), List.copyOf(events), revision);
  }

  void replaceWith(Contents contents) {
    items.clear();
    items.putAll(contents.items);
    events.clear();
    events.addAll(contents.events);
    revision = contents.revision;
  }

  long revision() {
    return revision;
  }

  /** Returns the value of a key; null if there is no such key. */
  JsonNode value(String key) {
    Item item = items.get(key);
    return item == null ? null : item.value;
  }

  boolean hasKeyEndingWith(String suffix) {
    return items.keySet().stream().anyMatch(key -> key.endsWith(suffix));
  }

  /** Returns the keys of the conditions that do not hold. */
  ArrayNode failedConditions(JsonNode conditions) {
    ArrayNode failedKeys = Json.array();
    for (JsonNode condition : conditions) {
      Item item = items.get(condition.path("path").asText());
      long version = item == null ? 0 : item.version;
      if (version != condition.path("stamp").longValue()) {
        failedKeys.add(condition.path("path").asText());
      }
    }
    return failedKeys;
  }

  /** Applies puts and deletes as one revision, and calls the listener with each key that is put. */
  void apply(JsonNode changes, Consumer<String> onPut) {
    revision++;
    for (JsonNode change : changes) {
      if (change.has("delete")) {
        remove(change.path("delete").asText());
      } else {
        String key = change.path("put").asText();
        items.put(key, new Item(change.path("v"), revision, change.path("tenancy").longValue()));
        ObjectNode event = Json.object().put("put", key).put("stamp", revision);
        event.set("v", change.path("v"));
        events.add(event);
        onPut.accept(key);
      }
    }
  }

  /** Removes the keys attached to the lease, as one revision. */
  void removeKeysOfLease(long lease) {
    revision++;
    List<String> attachedKeys = new ArrayList<>();
    items.forEach(
        (key, item) -> {
          if (item.lease == lease) {
            attachedKeys.add(key);
          }
        });
    attachedKeys.forEach(this::remove);
  }

  private void remove(String key) {
    if (items.remove(key) != null) {
      events.add(Json.object().put("delete", key).put("stamp", revision));
    }
  }

  /**
   * Returns one page of the keys with the prefix, starting with the first key after {@code
   * afterKey}.
   */
  ObjectNode page(String prefix, String afterKey, int limit) {
    ObjectNode page = Json.object();
    ArrayNode entries = page.putArray("entries");
    boolean hasMore = false;
    for (Map.Entry<String, Item> item : items.tailMap(afterKey, false).entrySet()) {
      if (item.getKey().startsWith(prefix)) {
        hasMore = entries.size() == limit;
        if (hasMore) {
          break;
        }
        ObjectNode entry = entries.addObject().put("path", item.getKey());
        entry.set("v", item.getValue().value);
        entry.put("stamp", item.getValue().version);
      }
    }
    return page.put("has_next", hasMore).put("epoch", revision);
  }

  /** Returns the events of the keys with the prefix after a revision, the oldest first. */
  ArrayNode eventsAfter(long afterRevision, String prefix) {
    ArrayNode matchingEvents = Json.array();
    for (int i = events.size() - 1; i >= 0; i--) {
      ObjectNode event = events.get(i);
      if (event.path("stamp").longValue() <= afterRevision) {
        break;
      }
      String key = event.has("put") ? event.path("put").asText() : event.path("delete").asText();
      if (key.startsWith(prefix)) {
        matchingEvents.insert(0, event);
      }
    }
    return matchingEvents;
  }
}
