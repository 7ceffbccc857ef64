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
 * A fake cloud that starts and deletes instances, boots workers on them, and returns a list of
 * instances that is a few seconds out of date. Tests can simulate an outage of it.
 *
 * <p>All methods must be called on the event loop.
 */
public final class FakeCloud implements RequestHandler {
  private static final int PORT = 9000;

  /** The prefix of the machines' addresses, which are assigned in ascending order. */
  public static final String DEFAULT_NETWORK = "10.1.";

  /** The number of machines whose addresses differ in the last part only. */
  private static final int HOSTS_PER_SUBNET = 250;

  private static final Duration LIST_LAG = Duration.ofSeconds(6);

  private final EventLoop loop;
  private final RandomGenerator random;
  private final List<MachineType> types;
  private final int capacity;
  private final String network;
  private final Consumer<Machine> onBoot;
  private final Consumer<Machine> onTerminate;
  private final TreeMap<String, Machine> machines = new TreeMap<>();
  private final Map<String, ArrayNode> grantedNamesByRequest = new HashMap<>();
  private ObjectNode visibleMachineList = Json.object();
  private int addedMachineCount;
  private int deletedMachineCount;
  private boolean isDown;
  private boolean isFastBootEnabled;
  private final Set<String> exhaustedZones = new HashSet<>();

  /** An instance, from the moment at which it was requested. */
  public static final class Machine {
    private final String name;
    private final String host;
    private final MachineType type;
    private final String zone;
    private final boolean isSpot;
    private final Duration requestedAt;
    private boolean isRunning;

    private Machine(
        String name, String host, MachineType type, String zone, boolean spot, Duration now) {
      this.name = name;
      this.host = host;
      this.type = type;
      this.zone = zone;
      this.isSpot = spot;
      this.requestedAt = now;
    }

    public String name() {
      return name;
    }

    /** Returns the address without the port. */
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
      return isSpot;
    }

    /** Returns the address at which the machine's worker listens. */
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
      Consumer<Machine> onBoot,
      Consumer<Machine> onTerminate) {
    this.loop = loop;
    this.random = random;
    this.types = types;
    this.capacity = capacity;
    this.network = network;
    this.onBoot = onBoot;
    this.onTerminate = onTerminate;
    updateMachineList();
  }

  public void setDown(boolean value) {
    isDown = value;
  }

  /** Sets whether new machines boot within two seconds. */
  public void setFastBoot(boolean value) {
    isFastBootEnabled = value;
  }

  /** From now on refuses all requests for instances in the zone for lack of capacity. */
  public void exhaustZone(String zone) {
    exhaustedZones.add(zone);
  }

  /** Returns the machines that have booted and were neither deleted nor preempted. */
  public List<Machine> runningMachines() {
    return machines.values().stream().filter(machine -> machine.isRunning).toList();
  }

  /** Whether the machine has booted and was neither deleted nor preempted. */
  public boolean isRunning(String name) {
    Machine machine = machines.get(name);
    return machine != null && machine.isRunning;
  }

  /** Terminates a machine without notice, as a cloud does when it preempts a spot instance. */
  public void terminate(String name) {
    Machine machine = machines.remove(name);
    if (machine != null) {
      onTerminate.accept(machine);
    }
  }

  private void delete(String name) {
    deletedMachineCount += machines.containsKey(name) ? 1 : 0;
    terminate(name);
  }

  /** Returns the number of machines that controllers have deleted. */
  public int deletedMachineCount() {
    return deletedMachineCount;
  }

  /** Returns the number of machines that controllers have requested or the test has added. */
  public int addedMachineCount() {
    return addedMachineCount;
  }

  @Override
  public CompletableFuture<Reply> handle(Request request) {
    if (isDown) {
      return CompletableFuture.completedFuture(
          Reply.json(503, Json.toBytes(Json.object().put("error", "trouble"))));
    }
    CompletableFuture<Reply> result = new CompletableFuture<>();
    loop.schedule(Duration.ofMillis(50 + random.nextLong(200)), () -> respond(request, result));
    return result;
  }

  private void respond(Request request, CompletableFuture<Reply> result) {
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
            reply(result, visibleMachineList);
          } else {
            grantInstances(body, result);
          }
        }
      }
    } catch (MalformedMessageException e) {
      result.complete(Reply.json(400, new byte[0]));
    }
  }

  private void grantInstances(JsonNode body, CompletableFuture<Reply> result) {
    String requestName = body.path("hire").asText();
    ArrayNode names = grantedNamesByRequest.get(requestName);
    if (names == null) {
      names = Json.array();
      boolean isExhausted = exhaustedZones.contains(body.path("yard").asText());
      int requestedCount = isExhausted ? 0 : body.path("how_many").intValue();
      for (int i = 0; i < requestedCount && machines.size() < capacity; i++) {
        names.add(
            addMachine(
                body.path("build").asText(),
                body.path("yard").asText(),
                body.path("loaners").booleanValue(),
                Duration.ofMillis(
                    isFastBootEnabled ? random.nextLong(2000) : 3000 + random.nextLong(12_000))));
      }
      if (names.isEmpty()) {
        result.complete(Reply.json(503, Json.toBytes(Json.object().put("error", "no capacity"))));
        return;
      }
      grantedNamesByRequest.put(requestName, names);
    }
    ObjectNode answer = Json.object();
    answer.set("spindles", names);
    reply(result, answer);
  }

  /** Adds a machine that boots in the given time, and returns its name. */
  public String addMachine(String typeName, String zone, boolean spot, Duration bootTime) {
    MachineType type =
        types.stream().filter(item -> item.name().equals(typeName)).findFirst().orElseThrow();
    String name = String.format("host-%06d", ++addedMachineCount);
    Machine machine = new Machine(name, host(addedMachineCount), type, zone, spot, loop.now());
    machines.put(name, machine);
    loop.schedule(
        bootTime,
        () -> {
          if (machines.get(name) == machine) {
            machine.isRunning = true;
            onBoot.accept(machine);
          }
        });
    return name;
  }

  private String host(int number) {
    return network + number / HOSTS_PER_SUBNET + "." + number % HOSTS_PER_SUBNET;
  }

  /**
   * Builds the list of the current machines once a second. Requests get each list only once it is
   * {@link #LIST_LAG} old.
   */
  private void updateMachineList() {
    loop.schedule(Duration.ofSeconds(1), this::updateMachineList);
    ObjectNode list = Json.object().put("has_next", false);
    ArrayNode items = list.putArray("spindles");
    for (Machine machine : machines.values()) {
      items
          .addObject()
          .put("ref", machine.name)
          .put("endpoint", machine.address())
          .put("build", machine.type.name())
          .put("yard", machine.zone)
          .put("loaners", machine.isSpot)
          .put("status", machine.isRunning ? "running" : "booting")
          .put("held_s", loop.now().minus(machine.requestedAt).toMillis() / 1e3);
    }
    loop.schedule(LIST_LAG, () -> visibleMachineList = list);
  }

  private static void reply(CompletableFuture<Reply> result, JsonNode body) {
    result.complete(Reply.json(200, Json.toBytes(body)));
  }
}
