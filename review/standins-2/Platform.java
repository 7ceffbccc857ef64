import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** A stand-in for the cloud. It boots a {@link Worker} on each machine. */
final class Platform {
  /** A machine type, as in the catalog. */
  record Type(
      String name,
      double vcpus,
      double memGb,
      double localGb,
      double fetchGbPerS,
      double rate,
      double marketPrice,
      double startupS,
      List<String> yards) {}

  /** A machine from its request until it is gone. */
  static final class Machine {
    String name;
    Type type;
    String yard;
    boolean isSpot;
    double rentedAt;
    boolean isUp;
    boolean isGone;
    Worker worker;
  }

  final Recorder recorder;
  final Judge judge;
  final List<Type> types;
  final double listLagS;
  final int capacity;
  final double reportS;
  final double leaseS;
  final Map<String, String> controllers = new LinkedHashMap<>();
  final TreeMap<String, Machine> machines = new TreeMap<>();
  private final Map<String, ArrayNode> hires = new HashMap<>();
  private final ArrayDeque<Object[]> lists = new ArrayDeque<>();
  private int count;
  boolean mayRent = true;
  final List<Worker> allWorkers = new java.util.concurrent.CopyOnWriteArrayList<>();
  volatile int deleted;

  Platform(
      Recorder recorder,
      Judge judge,
      List<Type> types,
      double listLagS,
      int capacity,
      double reportS,
      double leaseS) {
    this.recorder = recorder;
    this.judge = judge;
    this.types = types;
    this.listLagS = listLagS;
    this.capacity = capacity;
    this.reportS = reportS;
    this.leaseS = leaseS;
  }

  String start() throws IOException {
    HttpServer server = Http.serve(this::handle);
    Http.THREADS.execute(this::takeLists);
    return Http.address(server);
  }

  private void takeLists() {
    try {
      while (true) {
        synchronized (this) {
          lists.addLast(new Object[] {recorder.now(), list()});
          while (lists.size() > 1 && (double) lists.peekFirst()[0] < recorder.now() - listLagS) {
            lists.removeFirst();
          }
        }
        Thread.sleep(250);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private TreeMap<String, ObjectNode> list() {
    TreeMap<String, ObjectNode> result = new TreeMap<>();
    for (Machine machine : machines.values()) {
      ObjectNode item = Json.object().put("ref", machine.name);
      item.put("endpoint", machine.worker == null ? null : machine.worker.address());
      item.put("build", machine.type.name).put("yard", machine.yard).put("loaners", machine.isSpot);
      item.put("status", machine.isUp ? "running" : "booting");
      result.put(machine.name, item.put("held_s", recorder.now() - machine.rentedAt));
    }
    return result;
  }

  private Http.Answer handle(String method, String path, String query, byte[] body)
      throws Exception {
    Thread.sleep(60);
    switch (path) {
      case "/catalog" -> {
        return Http.Answer.of(200, catalog());
      }
      case "/machines/delete" -> {
        List<Machine> doomed = new ArrayList<>();
        synchronized (this) {
          for (JsonNode name : Json.parse(body).path("spindles")) {
            Machine machine = machines.get(name.asText());
            if (machine != null) {
              doomed.add(machine);
            }
          }
        }
        deleted += doomed.size();
        doomed.forEach(machine -> remove(machine, "deleted"));
        return Http.Answer.of(200, Json.object());
      }
      default -> {
        return method.equals("GET") ? page(query) : hire(Json.parse(body));
      }
    }
  }

  private ObjectNode catalog() {
    ObjectNode result = Json.object();
    ArrayNode builds = result.putArray("builds");
    for (Type type : types) {
      ObjectNode item = builds.addObject().put("name", type.name).put("vcpus", type.vcpus);
      item.put("gpus", 0.0).put("mem_gb", type.memGb).put("local_gb", type.localGb);
      item.put("fetch_gb_per_s", type.fetchGbPerS).put("rate", type.rate);
      item.put("market_price", type.marketPrice).put("startup_s", type.startupS);
      ArrayNode yards = item.putArray("yards");
      type.yards.forEach(yards::add);
    }
    return result;
  }

  @SuppressWarnings("unchecked")
  private synchronized Http.Answer page(String query) {
    String from = Http.parameter(query, "from", "");
    int limit = Math.min(500, Integer.parseInt(Http.parameter(query, "limit", "500")));
    ObjectNode result = Json.object();
    ArrayNode items = result.putArray("spindles");
    boolean hasNext = false;
    TreeMap<String, ObjectNode> shown = (TreeMap<String, ObjectNode>) lists.peekFirst()[1];
    for (ObjectNode item : shown.tailMap(from, false).values()) {
      hasNext = items.size() == limit;
      if (hasNext) {
        break;
      }
      items.add(item);
    }
    return Http.Answer.of(200, result.put("has_next", hasNext));
  }

  private synchronized Http.Answer hire(JsonNode body) {
    ArrayNode names = hires.get(body.path("hire").asText());
    if (names == null) {
      names = Json.array();
      Type type = type(body.path("build").asText());
      for (int i = 0; mayRent && i < body.path("how_many").asInt(); i++) {
        if (machines.size() < capacity) {
          names.add(
              rent(type, body.path("yard").asText(), body.path("loaners").asBoolean(), -1).name);
        }
      }
      if (names.isEmpty()) {
        return Http.Answer.error(503, "no capacity");
      }
      hires.put(body.path("hire").asText(), names);
    }
    ObjectNode answer = Json.object();
    answer.set("spindles", names);
    return Http.Answer.of(200, answer);
  }

  Type type(String name) {
    return types.stream().filter(type -> type.name.equals(name)).findFirst().orElseThrow();
  }

  /** Adds a machine that is up after this time; a negative time is the usual time to boot. */
  synchronized Machine rent(Type type, String yard, boolean isSpot, double bootS) {
    Machine machine = new Machine();
    machine.name = String.format("host-%06d", ++count);
    machine.type = type;
    machine.yard = yard;
    machine.isSpot = isSpot;
    machine.rentedAt = recorder.now();
    machines.put(machine.name, machine);
    recorder.add("cloud: %s rented, %s in %s spot=%s", machine.name, type.name, yard, isSpot);
    double delay = bootS >= 0 ? bootS : type.startupS;
    Http.THREADS.execute(
        () -> {
          try {
            Thread.sleep((long) (1000 * delay));
            boot(machine);
          } catch (Exception e) {
            e.printStackTrace();
          }
        });
    return machine;
  }

  private void boot(Machine machine) throws IOException {
    synchronized (this) {
      if (machine.isGone) {
        return;
      }
      machine.worker = new Worker(this, machine);
      machine.isUp = true;
      allWorkers.add(machine.worker);
    }
    recorder.add("cloud: %s is up", machine.name);
    machine.worker.start();
  }

  /** Takes a machine away with everything on it. */
  void remove(Machine machine, String how) {
    synchronized (this) {
      if (machine.isGone) {
        return;
      }
      machine.isGone = true;
      machines.remove(machine.name);
    }
    recorder.add("cloud: %s %s", machine.name, how);
    if (machine.worker != null) {
      machine.worker.end();
    }
  }
}
