import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * A stand-in for the state service, with the limits of the protocol. Each controller has an address
 * of its own here.
 */
final class StateService {
  private static final int KEPT_CHANGES = 10_000;

  private record Item(JsonNode value, byte[] text, long stamp, long lease) {}

  private record Event(long stamp, String key, byte[] text) {}

  private static final class Lease {
    long ttlMillis;
    long endsAt;
  }

  private final TreeMap<String, Item> items = new TreeMap<>();
  private final ArrayDeque<Event> events = new ArrayDeque<>();
  private final Map<Long, Lease> leases = new HashMap<>();
  private final Map<String, HttpServer> servers = new HashMap<>();
  private final double rps;
  private final double writeRps;
  private final int valueBytes;
  private final int txnOps;
  private double requestTokens;
  private double writeTokens;
  private long refilledAt = System.nanoTime();
  private long epoch;
  private long compactedTo;
  private long nextLease = 1;
  long rejectedAsMalformed;
  long limited;

  StateService(double rps, double writeRps, int valueKb, int txnOps) {
    this.rps = rps;
    this.writeRps = writeRps;
    this.valueBytes = valueKb * 1024;
    this.txnOps = txnOps;
    requestTokens = rps;
    writeTokens = writeRps;
    Http.THREADS.execute(this::expireLeases);
  }

  /** Opens an address for a controller. */
  String open(String node) throws IOException {
    HttpServer server =
        Http.serve((method, path, query, body) -> handle(method, path, query, body));
    servers.put(node, server);
    return Http.address(server);
  }

  /** Returns the value of a key, null if there is none. */
  synchronized JsonNode value(String key) {
    Item item = items.get(key);
    return item == null ? null : item.value;
  }

  private static long now() {
    return System.nanoTime() / 1_000_000;
  }

  private void expireLeases() {
    while (true) {
      synchronized (this) {
        List<Long> over = new ArrayList<>();
        leases.forEach(
            (id, lease) -> {
              if (lease.endsAt < now()) {
                over.add(id);
              }
            });
        over.forEach(this::endLease);
      }
      try {
        Thread.sleep(20);
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  private void endLease(long id) {
    leases.remove(id);
    List<String> attached = new ArrayList<>();
    items.forEach(
        (key, item) -> {
          if (item.lease == id) {
            attached.add(key);
          }
        });
    if (!attached.isEmpty()) {
      epoch++;
      attached.forEach(this::delete);
      notifyAll();
    }
  }

  private void put(String key, JsonNode value, long lease) {
    byte[] text = Json.bytes(value);
    items.put(key, new Item(value, text, epoch, lease));
    addEvent(new Event(epoch, key, text));
  }

  private void delete(String key) {
    if (items.remove(key) != null) {
      addEvent(new Event(epoch, key, null));
    }
  }

  private void addEvent(Event event) {
    events.addLast(event);
    while (events.size() > KEPT_CHANGES) {
      compactedTo = events.removeFirst().stamp;
    }
  }

  private void refill() {
    long at = System.nanoTime();
    double seconds = (at - refilledAt) / 1e9;
    refilledAt = at;
    requestTokens = Math.min(rps, requestTokens + seconds * rps);
    writeTokens = Math.min(writeRps, writeTokens + seconds * writeRps);
  }

  private Http.Answer handle(String method, String path, String query, byte[] body)
      throws Exception {
    Thread.sleep(2);
    synchronized (this) {
      refill();
      if (requestTokens < 1) {
        limited++;
        return Http.Answer.error(429, "too many requests");
      }
      requestTokens--;
    }
    if (path.equals("/follow")) {
      return follow(query);
    }
    if (path.equals("/commit")) {
      return commit(body);
    }
    synchronized (this) {
      if (path.equals("/keys")) {
        return list(query);
      }
      if (path.startsWith("/keys/")) {
        Item item = items.get(path.substring(6));
        if (item == null) {
          return Http.Answer.of(404, Json.object().put("epoch", epoch));
        }
        ObjectNode found = Json.object().put("path", path.substring(6)).put("stamp", item.stamp);
        found.set("v", item.value);
        return Http.Answer.of(200, found);
      }
      if (path.equals("/leases")) {
        Lease lease = new Lease();
        lease.ttlMillis = Json.parse(body).path("ttl_ms").asLong();
        lease.endsAt = now() + lease.ttlMillis;
        leases.put(nextLease, lease);
        return Http.Answer.of(200, Json.object().put("tenancy", nextLease++));
      }
      if (path.startsWith("/leases/")) {
        String rest = path.substring(8);
        boolean isExtend = rest.endsWith("/extend");
        long id = Long.parseLong(isExtend ? rest.substring(0, rest.indexOf('/')) : rest);
        Lease lease = leases.get(id);
        if (lease == null) {
          return Http.Answer.error(404, "no such lease");
        }
        if (isExtend) {
          lease.endsAt = now() + lease.ttlMillis;
        } else {
          endLease(id);
        }
        return Http.Answer.of(200, Json.object());
      }
    }
    rejectedAsMalformed++;
    return Http.Answer.error(400, "malformed");
  }

  private Http.Answer commit(byte[] text) throws IOException {
    JsonNode body = Json.parse(text);
    synchronized (this) {
      refill();
      int writes = body.path("apply").size();
      if (writeTokens < writes) {
        limited++;
        return Http.Answer.error(429, "too many changes");
      }
      writeTokens -= writes;
    }
    return apply(body, text.length);
  }

  private synchronized Http.Answer apply(JsonNode body, int bytes) {
    JsonNode conditions = body.path("if");
    JsonNode changes = body.path("apply");
    if (bytes > 64 * 1024 || changes.size() > txnOps || conditions.size() > 4 * txnOps) {
      rejectedAsMalformed++;
      return Http.Answer.error(400, "over a limit");
    }
    for (JsonNode change : changes) {
      if (change.has("put") && Json.bytes(change.path("v")).length > valueBytes) {
        rejectedAsMalformed++;
        return Http.Answer.error(400, "value too large");
      }
      long lease = change.path("tenancy").asLong(0);
      if (lease != 0 && !leases.containsKey(lease)) {
        return Http.Answer.error(400, "no such lease");
      }
    }
    ArrayNode failed = Json.array();
    for (JsonNode condition : conditions) {
      Item item = items.get(condition.path("path").asText());
      if ((item == null ? 0 : item.stamp) != condition.path("stamp").asLong()) {
        failed.add(condition.path("path").asText());
      }
    }
    if (failed.size() > 0) {
      ObjectNode answer = Json.object().put("epoch", epoch);
      answer.set("failed", failed);
      return Http.Answer.of(409, answer);
    }
    if (changes.size() > 0) {
      epoch++;
      for (JsonNode change : changes) {
        if (change.has("delete")) {
          delete(change.path("delete").asText());
        } else {
          put(change.path("put").asText(), change.path("v"), change.path("tenancy").asLong(0));
        }
      }
      notifyAll();
    }
    return Http.Answer.of(200, Json.object().put("epoch", epoch));
  }

  private Http.Answer list(String query) {
    String prefix = Http.parameter(query, "starts", "");
    String from = Http.parameter(query, "from", "");
    int limit = Math.min(1000, Integer.parseInt(Http.parameter(query, "limit", "1000")));
    ObjectNode page = Json.object();
    ArrayNode entries = page.putArray("entries");
    boolean hasNext = false;
    int bytes = 0;
    String start = from.compareTo(prefix) > 0 ? from : prefix;
    for (Map.Entry<String, Item> entry : items.tailMap(start, true).entrySet()) {
      if (!entry.getKey().startsWith(prefix)) {
        break;
      }
      if (entry.getKey().equals(from)) {
        continue;
      }
      bytes += entry.getValue().text.length + 3 * entry.getKey().length() + 60;
      if (entries.size() == limit || bytes > 500 * 1024) {
        hasNext = true;
        break;
      }
      ObjectNode item = entries.addObject().put("path", entry.getKey());
      item.set("v", entry.getValue().value);
      item.put("stamp", entry.getValue().stamp);
    }
    return Http.Answer.of(200, page.put("has_next", hasNext).put("epoch", epoch));
  }

  private synchronized Http.Answer follow(String query) throws InterruptedException {
    String prefix = Http.parameter(query, "starts", "");
    long from = Long.parseLong(Http.parameter(query, "from", "0"));
    long until = now() + Long.parseLong(Http.parameter(query, "block_ms", "0"));
    while (true) {
      if (from < compactedTo) {
        return Http.Answer.error(410, "too old");
      }
      List<Event> found = new ArrayList<>();
      for (var it = events.descendingIterator(); it.hasNext(); ) {
        Event event = it.next();
        if (event.stamp <= from) {
          break;
        }
        if (event.key.startsWith(prefix)) {
          found.add(event);
        }
      }
      if (!found.isEmpty() || now() >= until) {
        return events(found);
      }
      wait(Math.max(1, until - now()));
    }
  }

  private Http.Answer events(List<Event> newestFirst) {
    java.io.ByteArrayOutputStream out = new java.io.ByteArrayOutputStream();
    out.writeBytes(("{\"epoch\":" + epoch + ",\"events\":[").getBytes());
    for (int i = newestFirst.size() - 1; i >= 0; i--) {
      Event event = newestFirst.get(i);
      if (event.text == null) {
        out.writeBytes(("{\"delete\":\"" + event.key + "\"").getBytes());
      } else {
        out.writeBytes(("{\"put\":\"" + event.key + "\",\"v\":").getBytes());
        out.writeBytes(event.text);
      }
      out.writeBytes((",\"stamp\":" + event.stamp + "}" + (i > 0 ? "," : "")).getBytes());
    }
    out.writeBytes("]}".getBytes());
    return new Http.Answer(200, out.toByteArray());
  }
}
