import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.File;
import java.io.IOException;
import java.net.http.HttpClient;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A small deployment: three controllers as processes of their own, and the stand-ins. */
final class Site {
  /** Returns the settings of the plate and title processing. */
  static Facts coastplate() {
    Facts facts = new Facts();
    facts.reportS = 3;
    facts.leaseS = 24;
    facts.cancelS = 54;
    facts.rps = 200;
    facts.writeRps = 25;
    facts.valueKb = 8;
    facts.txnOps = 8;
    facts.cloudRps = 8;
    facts.listLagS = 3;
    facts.capacity = 48;
    facts.teamCpus = 0;
    facts.teamLimit = 0;
    facts.teams = List.of("plates-crew");
    facts.zones = List.of("fraser-rack", "island-dc", "okanagan-dc");
    facts.types =
        List.of(
            new Platform.Type("wren", 4, 8, 30, 0.8, 0.27, 0.1, 50, facts.zones),
            new Platform.Type("heron", 8, 16, 70, 0.4, 0.55, 0.2, 50, facts.zones),
            new Platform.Type("orca", 16, 64, 70, 1.0, 1.19, 0.4, 25, facts.zones));
    return facts;
  }

  /** The settings of the gift card clearing, the smaller fields of which a case may change. */
  static final class Facts {
    double reportS = 2.5;
    double leaseS = 16;
    double cancelS = 36;
    double rps = 150;
    double writeRps = 60;
    int valueKb = 16;
    int txnOps = 48;
    double cloudRps = 6;
    double listLagS = 6;
    int capacity = 40;
    double teamCpus = 40;
    double teamLimit = 96;
    List<String> teams = List.of("settlement-desk-00", "settlement-desk-01");
    List<String> zones = List.of("tuul-hall", "steppe-east", "darkhan-vault");
    List<Platform.Type> types =
        List.of(
            new Platform.Type(
                "ledger-box",
                16,
                64,
                100,
                1.0,
                0.95,
                0.4,
                50,
                List.of("tuul-hall", "steppe-east", "darkhan-vault")));
  }

  final Facts facts;
  final Recorder recorder;
  final Judge judge;
  final StateService state;
  final Platform platform;
  final Path root;
  final Path folder;
  final Map<String, Process> processes = new LinkedHashMap<>();
  final Map<String, String> addresses = new LinkedHashMap<>();
  final HttpClient client = Http.client();
  private final Map<String, Integer> starts = new LinkedHashMap<>();

  Site(Facts facts, Path record) throws IOException {
    this.facts = facts;
    recorder = new Recorder(record);
    judge = new Judge(recorder, facts.cancelS);
    if (facts.teamLimit > 0) {
      facts.teams.forEach(team -> judge.limit(team, facts.teamLimit));
    }
    state = new StateService(facts.rps, facts.writeRps, facts.valueKb, facts.txnOps);
    platform =
        new Platform(
            recorder,
            judge,
            facts.types,
            facts.listLagS,
            facts.capacity,
            facts.reportS,
            facts.leaseS);
    root = Path.of("").toAbsolutePath();
    folder = Files.createTempDirectory("cherryspool-review");
    Runtime.getRuntime().addShutdownHook(new Thread(this::endProcesses));
    writeSettings();
  }

  private void endProcesses() {
    processes.values().forEach(Process::destroyForcibly);
    File[] files = folder.toFile().listFiles();
    for (File file : files == null ? new File[0] : files) {
      if (!file.getName().endsWith(".log") || System.getenv("KEEP_LOGS") == null) {
        file.delete();
      }
    }
    folder.toFile().delete();
  }

  private void writeSettings() throws IOException {
    String cloud = platform.start();
    List<String> names = List.of("spindle-0", "spindle-1", "spindle-2");
    List<String> mesh = new ArrayList<>();
    for (String name : names) {
      addresses.put(name, "127.0.0.1:" + Http.freePort());
      mesh.add("127.0.0.1:" + Http.freePort());
    }
    platform.controllers.putAll(addresses);
    for (int i = 0; i < names.size(); i++) {
      ObjectNode node = Json.object().put("host_name", names.get(i));
      node.put("site", facts.zones.get(i)).put("client_listen", addresses.get(names.get(i)));
      node.put("mesh_addr", mesh.get(i));
      ArrayNode known = node.putArray("known");
      for (int j = 0; j < names.size(); j++) {
        if (j != i) {
          known
              .addObject()
              .put("host_name", names.get(j))
              .put("site", facts.zones.get(j))
              .put("endpoint", mesh.get(j));
        }
      }
      node.putObject("services").put("cloud", cloud).put("state", state.open(names.get(i)));
      node.set("facts", factsNode());
      Files.write(folder.resolve(names.get(i) + ".json"), Json.bytes(node));
    }
  }

  private ObjectNode factsNode() {
    ObjectNode node = Json.object().put("nodes", 3);
    ArrayNode zones = node.putArray("zones");
    facts.zones.forEach(zones::add);
    ArrayNode teams = node.putArray("teams");
    for (String team : facts.teams) {
      teams
          .addObject()
          .put("name", team)
          .put("cpus", facts.teamCpus)
          .put("cpus_max", facts.teamLimit)
          .put("gpus", 0.0)
          .put("gpus_max", 0.0);
    }
    node.putArray("objectives");
    node.putObject("workers")
        .put("report_s", facts.reportS)
        .put("lease_s", facts.leaseS)
        .put("gang_wait_s", 35.0)
        .put("gang_peer_s", 6.0)
        .put("cancel_s", facts.cancelS);
    node.putObject("state")
        .put("rps", facts.rps)
        .put("write_rps", facts.writeRps)
        .put("value_kb", (double) facts.valueKb)
        .put("txn_ops", facts.txnOps);
    node.putObject("cloud").put("rps", facts.cloudRps).put("list_lag_s", facts.listLagS);
    node.putObject("resources").put("cpu_share", 0.255).put("memory_mb", 263.0).put("fd_limit", 1800);
    return node.put("clock_off_ms", 250.0);
  }

  /** Starts a controller with the command of the deploy file. */
  void startController(String name) throws IOException {
    List<String> command = new ArrayList<>();
    for (String line : Files.readAllLines(root.resolve("deploy/service.toml"))) {
      if (line.startsWith("run = ")) {
        String text = line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
        command.addAll(List.of(text.split(" ")));
      }
    }
    command.add(folder.resolve(name + ".json").toString());
    int number = starts.merge(name, 1, Integer::sum);
    ProcessBuilder builder = new ProcessBuilder(command).directory(root.toFile());
    builder.redirectErrorStream(true);
    builder.redirectOutput(folder.resolve(name + "-" + number + ".log").toFile());
    builder.environment().putIfAbsent("LOG_LEVEL", "info");
    processes.put(name, builder.start());
    recorder.add("controller %s started", name);
  }

  void startControllers() throws IOException {
    for (String name : addresses.keySet()) {
      startController(name);
    }
  }

  boolean isReady(String name) throws InterruptedException {
    Http.Answer answer = Http.send(client, "GET", addresses.get(name), "/ready", null, 1);
    return answer != null && answer.status() == 200;
  }

  /** Waits until all controllers are ready; returns whether they are. */
  boolean awaitReady(double limitS) throws InterruptedException {
    double until = recorder.now() + limitS;
    while (recorder.now() < until) {
      boolean isAllReady = true;
      for (String name : addresses.keySet()) {
        isAllReady &= isReady(name);
      }
      if (isAllReady) {
        recorder.add("all controllers are ready");
        return true;
      }
      Thread.sleep(250);
    }
    return false;
  }

  /** Returns a submission with the fields of the protocol. */
  ObjectNode job(String id, String team, int pieces, double vcpus, double memGb, double expectS) {
    ObjectNode job = Json.object().put("ref", id).put("lane", "voucher-reconcile");
    job.put("owner", team).put("shape", "array").put("urgency", "normal").put("pieces", pieces);
    job.put("vcpus", vcpus).put("gpus", 0.0).put("mem_gb", memGb).put("bundle", "img-07");
    job.put("size_gb", 0.5).putNull("builds").putNull("yard").put("together", false);
    job.put("scatter", false).put("loaners", true).put("expect_s", expectS);
    return job.put("bookmark_s", 0.0).put("stash_s", 0.0).put("due_s", 900.0);
  }

  /** Submits a job as a user does: with repeats for up to 60 s. Returns the last status. */
  int submit(JsonNode job, double runS, String... nodes) throws InterruptedException {
    judge.upload(job, runS);
    String id = job.path("ref").asText();
    double until = recorder.now() + 60;
    int status = 0;
    for (int i = 0; recorder.now() < until; i++) {
      String node = nodes.length > 0 ? nodes[i % nodes.length] : anyNode(i);
      Http.Answer answer =
          Http.send(client, "POST", addresses.get(node), "/api/jobs", Json.bytes(job), 5);
      status = answer == null ? 0 : answer.status();
      recorder.add("user: submit %s to %s: %d", id, node, status);
      if (status == 200 || status == 201 || status == 400 || status == 422) {
        return status;
      }
      Thread.sleep(1000);
    }
    return status;
  }

  private String anyNode(int number) {
    return new ArrayList<>(addresses.keySet()).get(number % addresses.size());
  }

  /** Asks for a job once; returns the answer, null without one. */
  Http.Answer poll(String id, String node) throws InterruptedException {
    Http.Answer answer =
        Http.send(client, "GET", addresses.get(node), "/api/jobs/" + id, null, 2);
    recorder.add(
        "user: poll %s at %s: %s",
        id, node, answer == null ? "none" : answer.status() + " " + new String(answer.body()));
    return answer;
  }

  /** Asks for a job at each node in turn until one answers 200; returns the status, or "". */
  String status(String id) throws InterruptedException {
    for (String node : addresses.keySet()) {
      Http.Answer answer = poll(id, node);
      if (answer != null && answer.status() == 200) {
        return Json.parse(new String(answer.body())).path("status").asText();
      }
    }
    return "";
  }

  /** Asks to cancel once; returns the status in the answer, or "" without a confirmation. */
  String cancel(String id, String node) throws InterruptedException {
    Http.Answer answer =
        Http.send(
            client, "POST", addresses.get(node), "/api/jobs/" + id + "/withdraw", new byte[0], 5);
    recorder.add(
        "user: cancel %s at %s: %s",
        id, node, answer == null ? "none" : answer.status() + " " + new String(answer.body()));
    if (answer == null || answer.status() != 200) {
      return "";
    }
    String status = Json.parse(new String(answer.body())).path("status").asText();
    if (status.equals("withdrawn")) {
      judge.confirmCancelled(id);
    }
    return status;
  }

  void sleep(double seconds) throws InterruptedException {
    Thread.sleep((long) (1000 * seconds));
  }
}
