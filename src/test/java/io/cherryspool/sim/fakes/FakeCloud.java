package io.cherryspool.sim.fakes;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.cherryspool.http.Reply;
import io.cherryspool.http.Request;
import io.cherryspool.http.RequestHandler;
import io.cherryspool.lifecycle.EventLoop;
import io.cherryspool.model.MachineType;
import io.cherryspool.wire.CloudProtocol;
import io.cherryspool.wire.Json;
import io.cherryspool.wire.MalformedMessageException;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

/**
 * A working cloud without real machines: it starts and deletes instances, boots workers on them,
 * and lists them as they were some seconds ago. It can be down.
 *
 * <p>All methods must be called on the event loop.
 */
public final class FakeCloud implements RequestHandler {
  private static final int PORT = 9000;

  /** Each machine is given the next address in this network. */
  public static final String DEFAULT_NETWORK = "10.1.";

  /** So many machines have addresses that differ in their last part only. */
  private static final int SUBNET = 250;

  private static final Duration LIST_LAG = Duration.ofSeconds(6);

  private final EventLoop loop;
  private final RandomGenerator random;
  private final List<MachineType> types;
  private final int capacity;
  private final String network;
  private final Consumer<Machine> boot;
  private final Consumer<Machine> end;
  private final TreeMap<String, Machine> machines = new TreeMap<>();
  private final Map<String, ArrayNode> provided = new HashMap<>();
  private ObjectNode listed = Json.object();
  private int count;
  private int deletedMachineCount;
  private boolean down;
  private boolean fast;
  private final Set<String> closedZones = new HashSet<>();

  /** An instance that the cloud has started, from the request on. */
  public static final class Machine {
    private final String name;
    private final String host;
    private final MachineType type;
    private final String zone;
    private final boolean spot;
    private final Duration requestedAt;
    private boolean up;

    private Machine(
        String name, String host, MachineType type, String zone, boolean spot, Duration now) {
      this.name = name;
      this.host = host;
      this.type = type;
      this.zone = zone;
      this.spot = spot;
      this.requestedAt = now;
    }

    public String name() {
      return name;
    }

    /** Its address without the port. */
    public String host() {
      return host;
    }

    public MachineType type() {
      return type;
    }

    public String zone() {
      return zone;
    }

    public boolean isSpot() {
      return spot;
    }

    /** Where its worker listens. */
    public String address() {
      return host + ":" + PORT;
    }
  }

  public FakeCloud(
      EventLoop loop,
      RandomGenerator random,
      List<MachineType> types,
      int capacity,
      String network,
      Consumer<Machine> boot,
      Consumer<Machine> end) {
    this.loop = loop;
    this.random = random;
    this.types = types;
    this.capacity = capacity;
    this.network = network;
    this.boot = boot;
    this.end = end;
    snapshot();
  }

  public void setDown(boolean value) {
    down = value;
  }

  /** Whether new machines are up within two seconds. */
  public void setFastBoot(boolean value) {
    fast = value;
  }

  /** Refuses all requests for instances in the zone from now on, for lack of capacity. */
  public void exhaustZone(String zone) {
    closedZones.add(zone);
  }

  /** The machines that the cloud has up. */
  public List<Machine> runningMachines() {
    return machines.values().stream().filter(machine -> machine.up).toList();
  }

  /** Whether the cloud has this machine up, as far as it knows. */
  public boolean isRunning(String name) {
    Machine machine = machines.get(name);
    return machine != null && machine.up;
  }

  /** The cloud takes a machine away. */
  public void reclaim(String name) {
    Machine machine = machines.remove(name);
    if (machine != null) {
      end.accept(machine);
    }
  }

  private void delete(String name) {
    deletedMachineCount += machines.containsKey(name) ? 1 : 0;
    reclaim(name);
  }

  /** How many machines the controllers have deleted. */
  public int deletedMachineCount() {
    return deletedMachineCount;
  }

  /** How many machines the controllers have requested, or the test has added. */
  public int addedMachineCount() {
    return count;
  }

  @Override
  public CompletableFuture<Reply> handle(Request request) {
    if (down) {
      return CompletableFuture.completedFuture(
          Reply.json(503, Json.toBytes(Json.object().put("error", "trouble"))));
    }
    CompletableFuture<Reply> result = new CompletableFuture<>();
    loop.schedule(Duration.ofMillis(50 + random.nextLong(200)), () -> answer(request, result));
    return result;
  }

  private void answer(Request request, CompletableFuture<Reply> result) {
    try {
      JsonNode body = request.body().length == 0 ? null : Json.parseObject(request.body());
      switch (request.path()) {
        case "/catalog" -> reply(result, CloudProtocol.encodeCatalog(types));
        case "/machines/delete" -> {
          body.path("spindles").forEach(name -> delete(name.asText()));
          reply(result, Json.object());
        }
        default -> {
          if (request.method().equals("GET")) {
            reply(result, listed);
          } else {
            provide(body, result);
          }
        }
      }
    } catch (MalformedMessageException e) {
      result.complete(Reply.json(400, new byte[0]));
    }
  }

  private void provide(JsonNode body, CompletableFuture<Reply> result) {
    String name = body.path("hire").asText();
    ArrayNode names = provided.get(name);
    if (names == null) {
      names = Json.array();
      boolean isClosed = closedZones.contains(body.path("yard").asText());
      int wanted = isClosed ? 0 : body.path("how_many").intValue();
      for (int i = 0; i < wanted && machines.size() < capacity; i++) {
        names.add(
            addMachine(
                body.path("build").asText(),
                body.path("yard").asText(),
                body.path("loaners").booleanValue(),
                Duration.ofMillis(fast ? random.nextLong(2000) : 3000 + random.nextLong(12_000))));
      }
      if (names.isEmpty()) {
        result.complete(Reply.json(503, Json.toBytes(Json.object().put("error", "no capacity"))));
        return;
      }
      provided.put(name, names);
    }
    ObjectNode answer = Json.object();
    answer.set("spindles", names);
    reply(result, answer);
  }

  /** Adds a machine that boots in the given time. */
  public String addMachine(String typeName, String zone, boolean spot, Duration bootTime) {
    MachineType type =
        types.stream().filter(item -> item.name().equals(typeName)).findFirst().orElseThrow();
    String name = String.format("host-%06d", ++count);
    Machine machine = new Machine(name, host(count), type, zone, spot, loop.now());
    machines.put(name, machine);
    loop.schedule(
        bootTime,
        () -> {
          if (machines.get(name) == machine) {
            machine.up = true;
            boot.accept(machine);
          }
        });
    return name;
  }

  private String host(int number) {
    return network + number / SUBNET + "." + number % SUBNET;
  }

  /** The list shows the fleet as it was a while ago. */
  private void snapshot() {
    loop.schedule(Duration.ofSeconds(1), this::snapshot);
    ObjectNode list = Json.object().put("has_next", false);
    ArrayNode items = list.putArray("spindles");
    for (Machine machine : machines.values()) {
      items
          .addObject()
          .put("ref", machine.name)
          .put("endpoint", machine.address())
          .put("build", machine.type.name())
          .put("yard", machine.zone)
          .put("loaners", machine.spot)
          .put("status", machine.up ? "running" : "booting")
          .put("held_s", loop.now().minus(machine.requestedAt).toMillis() / 1e3);
    }
    loop.schedule(LIST_LAG, () -> listed = list);
  }

  private static void reply(CompletableFuture<Reply> result, JsonNode body) {
    result.complete(Reply.json(200, Json.toBytes(body)));
  }
}
