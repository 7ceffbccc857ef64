package review;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.cherryspool.http.Endpoint;
import io.cherryspool.http.NettyEventLoop;
import io.cherryspool.http.NettyHttpServer;
import io.cherryspool.http.Request;
import io.cherryspool.sim.fakes.FakeStateStore;
import io.cherryspool.wire.Json;
import io.cherryspool.wire.StateStoreProtocol;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.ToDoubleFunction;

/**
 * A small deployment on loopback addresses: controller nodes as processes, started by the deploy
 * file's run line, and stand-ins for the state service, the cloud, the workers and the users. Each
 * link between nodes, and from each node to the state service, passes through a {@link Relay}.
 */
final class World implements AutoCloseable {
  final Record record;
  final double reportS;
  final double leaseS;
  final double fetchS = 1;
  private final double cancelS;
  private final double listLagS;
  private final Path folder;
  private final String[] zones;
  private final int nodes;
  private final Path repository;
  private final int[] clientPorts;
  private final int[] meshPorts;
  private final int cloudPort = Http.freePort();
  private final Relay[] stateRelays;
  private final Relay[][] meshRelays;
  private final int[] stateRelayPorts;
  private final int[][] meshRelayPorts;
  private final Process[] processes;
  private final NettyEventLoop stateLoop = new NettyEventLoop();
  private final FakeStateStore stateStore =
      new FakeStateStore(stateLoop, new SplittableRandom(1), 0);
  private final Map<String, Worker> workers = new ConcurrentHashMap<>();
  private final Map<String, Double> hiredAt = new ConcurrentHashMap<>();
  private final Map<String, JobInfo> jobs = new ConcurrentHashMap<>();
  private final List<String> violations = new ArrayList<>();
  private final AtomicLong storedBytes = new AtomicLong();
  private volatile boolean recordsTasks = true;
  private int starts;

  /** A machine type of the catalog. */
  record MachineType(String name, double cpus, double memoryGb, double price, double bootS) {}

  /** What users upload of a job for the workers, and how long its tasks run. */
  record JobInfo(
      String id, double cpus, String bundle, double bookmarkS, double stashS,
      ToDoubleFunction<String> runTime) {
    double runSeconds(String piece) {
      return runTime.applyAsDouble(piece);
    }
  }

  /** The numbers of a deployment that its page gives. */
  record Numbers(
      String[] zones, double reportS, double leaseS, double cancelS, double listLagS, int stateRps,
      int writeRps, int valueKb, int txnOps, int cloudRps, int memoryMb, int sockets,
      MachineType machineType, List<Team> teams) {}

  /** A team with its guaranteed CPUs and its limit; 0 means none. */
  record Team(String name, double cpus, double cpusMax) {}

  /** "Coastplate plate and title processing", docs/BRIEF-cherryspool.md. */
  static Numbers coastplate() {
    return new Numbers(
        new String[] {"fraser-rack", "island-dc", "okanagan-dc"},
        3, 24, 54, 3, 200, 25, 8, 8, 8, 263, 2000,
        new MachineType("orca", 16, 64, 1.19, 25),
        List.of(new Team("plates-crew", 0, 0)));
  }

  /** "Gift card clearing at the Ulaanbaatar agency", docs/BRIEF-cherryspool.md. */
  static Numbers ulaanbaatar() {
    List<Team> teams = new ArrayList<>();
    for (int i = 0; i < 10; i++) {
      teams.add(new Team(String.format("settlement-desk-%02d", i), 40, 96));
    }
    return new Numbers(
        new String[] {"tuul-hall", "steppe-east", "darkhan-vault"},
        2.5, 16, 36, 6, 150, 60, 16, 48, 6, 263, 1800,
        new MachineType("ledger-box", 16, 64, 0.95, 50), teams);
  }

  private final Numbers numbers;

  World(Record record, Path repository, Path folder, Numbers numbers) throws Exception {
    this.record = record;
    this.repository = repository;
    this.folder = folder;
    this.numbers = numbers;
    reportS = numbers.reportS;
    leaseS = numbers.leaseS;
    cancelS = numbers.cancelS;
    listLagS = numbers.listLagS;
    zones = numbers.zones;
    nodes = zones.length;
    clientPorts = new int[nodes];
    meshPorts = new int[nodes];
    stateRelays = new Relay[nodes];
    stateRelayPorts = new int[nodes];
    meshRelays = new Relay[nodes][nodes];
    meshRelayPorts = new int[nodes][nodes];
    processes = new Process[nodes];
    int statePort = Http.freePort();
    stateStore.onPut(
        key -> storedBytes.addAndGet(Json.toBytes(stateStore.value(key)).length));
    new NettyHttpServer(stateLoop, stateStore, 1000).bind(new Endpoint("127.0.0.1", statePort));
    for (int i = 0; i < nodes; i++) {
      clientPorts[i] = Http.freePort();
      meshPorts[i] = Http.freePort();
      stateRelayPorts[i] = Http.freePort();
      stateRelays[i] = new Relay(stateRelayPorts[i], statePort);
    }
    for (int i = 0; i < nodes; i++) {
      for (int j = 0; j < nodes; j++) {
        if (i != j) {
          meshRelayPorts[i][j] = Http.freePort();
          meshRelays[i][j] = new Relay(meshRelayPorts[i][j], meshPorts[j]);
        }
      }
    }
    Http.serve(cloudPort, this::cloud);
  }

  String nodeName(int node) {
    return "spindle-" + node;
  }

  int nodeIndex(String name) {
    for (int i = 0; i < nodes; i++) {
      if (nodeName(i).equals(name)) {
        return i;
      }
    }
    return -1;
  }

  int nodeCount() {
    return nodes;
  }

  String nodeAddress(int node) {
    return "127.0.0.1:" + clientPorts[node];
  }

  JobInfo job(String id) {
    return jobs.get(id);
  }

  Map<String, Worker> workers() {
    return workers;
  }

  /** Adds a machine that is up. */
  Worker addMachine(String name, String zone, int firstNode) throws IOException {
    Worker worker =
        new Worker(this, name, numbers.machineType, zone, Http.freePort(), firstNode);
    workers.put(name, worker);
    hiredAt.put(name, Record.now() - 60);
    return worker;
  }

  /** Starts a node by the deploy file's run line, with its settings file as the last argument. */
  void startNode(int node) throws Exception {
    Path settings = folder.resolve(nodeName(node) + ".json");
    Files.write(settings, Json.toBytes(settings(node)));
    List<String> command = new ArrayList<>(runLine());
    command.add(settings.toString());
    ProcessBuilder builder = new ProcessBuilder(command).directory(repository.toFile());
    builder.environment().put("LOG_LEVEL", "info");
    builder.redirectErrorStream(true);
    builder.redirectOutput(
        ProcessBuilder.Redirect.appendTo(folder.resolve(nodeName(node) + ".log").toFile()));
    processes[node] = builder.start();
    record.line("started %s, pid %d", nodeName(node), processes[node].pid());
  }

  Process process(int node) {
    return processes[node];
  }

  private List<String> runLine() throws IOException {
    for (String line : Files.readAllLines(repository.resolve("deploy/service.toml"))) {
      if (line.startsWith("run = ")) {
        String value = line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
        return Arrays.asList(value.split(" "));
      }
    }
    throw new IOException("deploy/service.toml has no run line");
  }

  private ObjectNode settings(int node) {
    ObjectNode root = Json.object().put("host_name", nodeName(node)).put("site", zones[node]);
    root.put("client_listen", nodeAddress(node));
    root.put("mesh_addr", "127.0.0.1:" + meshPorts[node]);
    ArrayNode known = root.putArray("known");
    for (int other = 0; other < nodes; other++) {
      if (other != node) {
        known
            .addObject()
            .put("host_name", nodeName(other))
            .put("site", zones[other])
            .put("endpoint", "127.0.0.1:" + meshRelayPorts[node][other]);
      }
    }
    root.putObject("services")
        .put("cloud", "127.0.0.1:" + cloudPort)
        .put("state", "127.0.0.1:" + stateRelayPorts[node]);
    ObjectNode facts = root.putObject("facts");
    facts.put("nodes", nodes);
    Arrays.stream(zones).forEach(facts.putArray("zones")::add);
    ArrayNode teams = facts.putArray("teams");
    for (Team team : numbers.teams) {
      teams.addObject().put("name", team.name).put("cpus", team.cpus)
          .put("cpus_max", team.cpusMax).put("gpus", 0.0).put("gpus_max", 0.0);
    }
    facts.putArray("objectives");
    facts.putObject("workers").put("report_s", reportS).put("lease_s", leaseS)
        .put("cancel_s", cancelS);
    facts.putObject("state").put("rps", (double) numbers.stateRps)
        .put("write_rps", (double) numbers.writeRps).put("value_kb", (double) numbers.valueKb)
        .put("txn_ops", numbers.txnOps);
    facts.putObject("cloud").put("rps", (double) numbers.cloudRps).put("list_lag_s", listLagS);
    facts.putObject("resources").put("cpu_share", 0.255)
        .put("memory_mb", (double) numbers.memoryMb).put("fd_limit", numbers.sockets);
    facts.put("clock_off_ms", 5.0);
    return root;
  }

  /** Cuts a node off from the state service and from the other nodes, or ends that. */
  void cutFromStateAndPeers(int node, boolean isCut) {
    record.line(
        "%s %s the state service and the other nodes", nodeName(node), isCut ? "loses" : "reaches");
    stateRelays[node].setCut(isCut);
    for (int other = 0; other < nodes; other++) {
      if (other != node) {
        meshRelays[node][other].setCut(isCut);
        meshRelays[other][node].setCut(isCut);
      }
    }
  }

  /** Returns a value of the state service; null if there is none. */
  JsonNode stored(String key) {
    CompletableFuture<JsonNode> result = new CompletableFuture<>();
    stateLoop.execute(() -> result.complete(stateStore.value(key)));
    return result.join();
  }

  /** Puts a value into the state service, as the program has stored it earlier. */
  void store(Map<String, JsonNode> values) {
    List<StateStoreProtocol.Change> changes = new ArrayList<>();
    values.forEach((key, value) -> changes.add(new StateStoreProtocol.Change(key, value, 0)));
    CompletableFuture<Integer> result = new CompletableFuture<>();
    Request request = StateStoreProtocol.transactionRequest(Map.of(), changes);
    stateLoop.execute(
        () -> stateStore.handle(request).thenAccept(reply -> result.complete(reply.status())));
    if (result.join() != 200) {
      throw new IllegalStateException("the state service did not take the values");
    }
  }

  /** Kills a node without a signal that it could handle. */
  void killNode(int node) throws Exception {
    processes[node].destroyForcibly().waitFor(10, TimeUnit.SECONDS);
    record.line("killed %s", nodeName(node));
  }

  /** Sends a signal to a node's process. */
  void signalNode(int node, String signal) throws Exception {
    new ProcessBuilder("kill", "-" + signal, String.valueOf(processes[node].pid()))
        .start()
        .waitFor();
    record.line("%s to %s", signal, nodeName(node));
  }

  /** The size of all values that were put into the state service so far. */
  long storedBytes() {
    return storedBytes.get();
  }

  /** Cancels a job as a user does. */
  void withdraw(int node, String id) throws Exception {
    for (int i = 0; i < 30; i++) {
      String target = "/api/jobs/" + id + "/withdraw";
      Http.Answer answer = Http.call("POST", nodeAddress(node), target, null, 5000);
      record.line("POST %s to %s -> %s", target, nodeName(node), answer.text());
      if (answer.status() == 200) {
        return;
      }
      Thread.sleep(1000);
    }
    throw new IllegalStateException(id + " was not cancelled");
  }

  /** Returns the index of the node that the state service names as leader; -1 if it names none. */
  int leader() {
    JsonNode value = stored("c/leader");
    return value == null ? -1 : nodeIndex(value.path("node").asText());
  }

  /** Waits for a leader other than this node, and returns it. */
  int awaitLeaderOtherThan(int node, double seconds) throws Exception {
    double end = Record.now() + seconds;
    while (Record.now() < end) {
      int leader = leader();
      if (leader >= 0 && leader != node) {
        record.line("the state service names %s as leader", nodeName(leader));
        return leader;
      }
      Thread.sleep(20);
    }
    throw new IllegalStateException("no leader within " + seconds + " s");
  }

  void awaitReady(double seconds) throws Exception {
    double end = Record.now() + seconds;
    for (int node = 0; node < nodes; node++) {
      while (Http.call("GET", nodeAddress(node), "/ready", null, 1000).status() != 200) {
        if (Record.now() > end) {
          throw new IllegalStateException(nodeName(node) + " is not ready");
        }
        Thread.sleep(100);
      }
    }
    record.line("all nodes are ready");
  }

  /** The fields of a submission that the cases don't vary. */
  static ObjectNode submission(String id, String lane, String urgency, int pieces, double cpus) {
    ObjectNode job = Json.object().put("ref", id).put("lane", lane).put("owner", "plates-crew");
    job.put("shape", "array").put("urgency", urgency).put("pieces", pieces);
    job.put("vcpus", cpus).put("gpus", 0.0).put("mem_gb", cpus).put("bundle", "img-07");
    job.put("size_gb", 1.0).putNull("builds").putNull("yard");
    job.put("together", false).put("scatter", false).put("loaners", true);
    job.put("expect_s", 50.0).put("bookmark_s", 0.0).put("stash_s", 0.0).putNull("due_s");
    return job;
  }

  /** Uploads the job's description, and submits the job as a user does. */
  void submit(int node, ObjectNode job, ToDoubleFunction<String> runTime) throws Exception {
    String id = job.path("ref").asText();
    jobs.put(
        id,
        new JobInfo(
            id, job.path("vcpus").doubleValue(), job.path("bundle").asText(),
            job.path("bookmark_s").doubleValue(), job.path("stash_s").doubleValue(), runTime));
    for (int i = 0; i < 30; i++) {
      Http.Answer answer = Http.call("POST", nodeAddress(node), "/api/jobs", job, 5000);
      record.line("POST /api/jobs to %s: %s -> %s", nodeName(node), job, answer.text());
      if (answer.status() == 201 || answer.status() == 200) {
        return;
      }
      Thread.sleep(1000);
    }
    throw new IllegalStateException(id + " was not accepted");
  }

  Http.Answer poll(int node, String id) {
    Http.Answer answer = Http.call("GET", nodeAddress(node), "/api/jobs/" + id, null, 2000);
    record.line("GET /api/jobs/%s to %s -> %s", id, nodeName(node), answer.text());
    return answer;
  }

  /** Leaves the lines about single tasks, commands and inspections out of the record. */
  void recordNoTasks() {
    recordsTasks = false;
  }

  /** Records a line about single tasks, commands or inspections. */
  void taskLine(String format, Object... arguments) {
    if (recordsTasks) {
      record.line(format, arguments);
    }
  }

  /** Called when a task has its image and starts. Checks the rule ran_twice. */
  void onStart(Worker worker, String piece, long number) {
    taskLine("%s starts %s try %d", worker.name, piece, number);
    // The check runs on its own thread, since it takes the locks of other workers.
    Http.THREADS.execute(
        () -> {
          for (Worker other : workers.values()) {
            if (other != worker && other.piecesOnMachine().contains(piece)) {
              addViolation(
                  String.format(
                      "ran_twice: %s started on %s while it was on %s, whose lease ends at %.3f",
                      piece, worker.name, other.name, other.leaseEnd()));
            }
          }
        });
    synchronized (violations) {
      starts++;
    }
  }

  void addViolation(String text) {
    synchronized (violations) {
      violations.add(text);
    }
    record.line("VIOLATION %s", text);
  }

  List<String> violations() {
    synchronized (violations) {
      return List.copyOf(violations);
    }
  }

  int startCount() {
    synchronized (violations) {
      return starts;
    }
  }

  private Http.Answer cloud(String method, String target, byte[] body) throws Exception {
    if (target.equals("/catalog")) {
      return Http.answer(200, catalog());
    }
    if (target.startsWith("/machines/delete")) {
      JsonNode names = Json.parseObject(body).path("spindles");
      record.line("cloud: delete %s", names);
      for (JsonNode name : names) {
        Worker worker = workers.remove(name.asText());
        if (worker != null) {
          worker.remove();
        }
      }
      return Http.answer(200, Json.object());
    }
    if (method.equals("POST")) {
      return Http.answer(503, Json.object().put("error", "no capacity"));
    }
    return Http.answer(200, machineList());
  }

  private ObjectNode catalog() {
    ObjectNode catalog = Json.object();
    ObjectNode build = catalog.putArray("builds").addObject();
    MachineType type = numbers.machineType;
    build.put("name", type.name).put("vcpus", type.cpus).put("gpus", 0.0);
    build.put("mem_gb", type.memoryGb).put("local_gb", 70.0).put("fetch_gb_per_s", 1.0);
    build.put("rate", type.price).put("market_price", 0.4).put("startup_s", type.bootS);
    Arrays.stream(zones).forEach(build.putArray("yards")::add);
    return catalog;
  }

  private ObjectNode machineList() {
    ObjectNode list = Json.object().put("has_next", false);
    ArrayNode items = list.putArray("spindles");
    Map<String, Worker> sorted = new java.util.TreeMap<>(workers);
    for (Worker worker : sorted.values()) {
      ObjectNode item = items.addObject().put("ref", worker.name);
      item.put("endpoint", worker.address()).put("build", worker.type().name());
      item.put("yard", worker.zone).put("loaners", false).put("status", "running");
      item.put("held_s", Record.now() - hiredAt.get(worker.name));
    }
    return list;
  }

  /** Copies the nodes' log lines into the record, and ends all processes. */
  @Override
  public void close() throws Exception {
    for (Process process : processes) {
      if (process != null) {
        process.destroyForcibly().waitFor(10, TimeUnit.SECONDS);
      }
    }
    for (int node = 0; node < nodes; node++) {
      Path log = folder.resolve(nodeName(node) + ".log");
      if (Files.exists(log)) {
        record.line("log of %s:", nodeName(node));
        for (String line : Files.readAllLines(log)) {
          record.line("  %s", line);
        }
      }
    }
    stateLoop.shutdown();
  }

  /** Returns the values of a map in the order of its keys. */
  static <T> List<T> sorted(Map<String, T> map) {
    return new ArrayList<>(new LinkedHashMap<>(new java.util.TreeMap<>(map)).values());
  }
}
