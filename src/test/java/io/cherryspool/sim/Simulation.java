package io.cherryspool.sim;

import com.fasterxml.jackson.databind.JsonNode;
import io.cherryspool.config.OperatorSettings;
import io.cherryspool.config.Settings;
import io.cherryspool.controller.Controller;
import io.cherryspool.duty.EventLoop;
import io.cherryspool.http.Endpoint;
import io.cherryspool.http.Request;
import io.cherryspool.http.Transport;
import io.cherryspool.mesh.Mesh;
import io.cherryspool.model.Job;
import io.cherryspool.model.MachineType;
import io.cherryspool.model.Priority;
import io.cherryspool.model.Resources;
import io.cherryspool.model.Team;
import io.cherryspool.wire.JobWire;
import io.cherryspool.wire.Json;
import io.cherryspool.wire.WireException;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.TreeMap;

/**
 * Three to five controllers against the stand-ins in simulated time, with random troubles. The
 * rules are checked after each step, and at the end every job that nobody cancelled must be done.
 */
final class Simulation {
  private static final List<String> ZONES = List.of("a", "b", "c");
  private static final Endpoint STATE = new Endpoint("10.2.0.1", 2379);
  private static final Endpoint CLOUD = new Endpoint("10.2.0.2", 8443);
  private static final Duration REPORT = Duration.ofMillis(2500);
  private static final Duration LEASE = Duration.ofSeconds(16);
  private static final Duration CANCEL = Duration.ofSeconds(36);
  private static final MachineType BOX =
      new MachineType(
          "box", new Resources(16, 0, 64), 50, 0.5, 1, 0.4, Duration.ofSeconds(8), ZONES);

  /** Too small for the larger tasks, and not to be had everywhere. */
  private static final MachineType CRATE =
      new MachineType(
          "crate",
          new Resources(4, 0, 16),
          50,
          0.5,
          0.25,
          0.1,
          Duration.ofSeconds(5),
          ZONES.subList(0, 2));

  private final VirtualTime time = new VirtualTime();
  private final SplittableRandom random;
  private final SimNet net;
  private final StandInState state;
  private final StandInCloud cloud;
  private final RuleChecker rules;
  private final List<Team> teams =
      List.of(
          new Team("red", 40, 64, 0, 0),
          new Team("blue", 40, 96, 0, 0),
          new Team("guest", 0, 0, 0, 0));
  private final List<Node> nodes = new ArrayList<>();
  private final Map<String, Endpoint> nodeAddresses = new LinkedHashMap<>();
  private final Map<String, StandInWorker> workers = new TreeMap<>();
  private final Map<String, String> zoneByHost = new HashMap<>();
  private boolean meshRefused;
  private int jobCount;
  private double troubleEnd;
  private int storm = 1;

  Simulation(long seed) {
    random = new SplittableRandom(seed);
    net = new SimNet(time, random.split(), host -> zoneByHost.getOrDefault(host, ""));
    rules = new RuleChecker(time, teams, CANCEL);
    state = new StandInState(time, random.split(), 0.01);
    cloud =
        new StandInCloud(
            time,
            random.split(),
            List.of(BOX, CRATE),
            12,
            StandInCloud.NETWORK,
            this::boot,
            this::end);
    net.listen(STATE, state);
    net.listen(CLOUD, cloud);
    int count = 3 + random.nextInt(3);
    for (int i = 0; i < count; i++) {
      Endpoint address = new Endpoint("10.0.0." + (i + 1), 8080);
      nodeAddresses.put("node-" + i, address);
      zoneByHost.put(address.host(), ZONES.get(i % 3));
    }
    for (int i = 0; i < count; i++) {
      Node node = new Node(i);
      nodes.add(node);
      node.begin();
    }
    for (int i = 0; i < 5; i++) {
      cloud.add("box", ZONES.get(i % 3), i % 2 == 0, Duration.ofSeconds(1));
    }
  }

  /** A controller's place, in which processes come and go. */
  private final class Node {
    private final int index;
    private final Endpoint address;
    private final Endpoint meshAddress;
    private Gate gate;
    private boolean still;
    private boolean alone;
    private int life;
    private Controller controller;

    Node(int index) {
      this.index = index;
      this.address = nodeAddresses.get("node-" + index);
      this.meshAddress = new Endpoint(address.host(), 8081);
    }

    void begin() {
      life++;
      Gate own = new Gate();
      gate = own;
      still = false;
      EventLoop loop = time.of(own);
      Transport transport = net.from(address.host(), own);
      List<Settings.Peer> peers = new ArrayList<>();
      for (int i = 0; i < nodeAddresses.size(); i++) {
        if (i != index) {
          peers.add(new Settings.Peer("node-" + i, new Endpoint("10.0.0." + (i + 1), 8081)));
        }
      }
      Settings settings =
          new Settings(
              "node-" + index,
              ZONES.get(index % 3),
              address,
              meshAddress,
              peers,
              CLOUD,
              STATE,
              teams,
              Map.of(),
              REPORT,
              LEASE,
              CANCEL,
              new Settings.StateLimits(150, 60, 2048, 12),
              6,
              Duration.ofSeconds(6),
              1000);
      controller =
          new Controller(
              settings,
              OperatorSettings.DEFAULTS,
              new Controller.Surroundings(
                  loop,
                  transport,
                  word -> tell(own, word),
                  random.split(),
                  () -> Instant.EPOCH.plus(time.now()),
                  "node-" + index + "-life-" + life,
                  new SimpleMeterRegistry(),
                  () -> ""));
      net.listen(address, controller, own);
      controller.start();
    }

    private void tell(Gate own, Mesh.Word word) {
      if (own.closed() || alone || meshRefused) {
        return;
      }
      for (Node other : nodes) {
        if (other != this && net.reaches(address.host(), other.address.host())) {
          time.schedule(Duration.ofMillis(2), () -> other.hear(word));
        }
      }
    }

    private void hear(Mesh.Word word) {
      if (controller != null && !alone) {
        Controller live = controller;
        gate.pass(() -> live.heard(word));
      }
    }

    String name() {
      return "node-" + index;
    }

    boolean leads() {
      return controller != null && controller.leads();
    }

    /** Loses the state service and the other controllers, but not its workers. */
    void isolate(Duration length) {
      alone = true;
      net.cut(address.host(), STATE.host(), length);
      time.schedule(length, () -> alone = false);
    }

    /** The state service refuses this node alone. */
    void refuse(Duration length) {
      net.refuse(address.host(), STATE.host(), length);
    }

    /** Does nothing for so long, while its clocks run on. */
    void freeze(Duration length) {
      if (controller != null && !still) {
        still = true;
        Gate own = gate;
        own.standStill();
        long seed = random.nextLong();
        time.schedule(
            length,
            () -> {
              if (!own.closed()) {
                still = false;
                own.goOn(seed);
              }
            });
      }
    }

    void crash(Duration down) {
      if (controller != null) {
        gate.close();
        controller = null;
        net.close(address);
        time.schedule(down, this::begin);
      }
    }
  }

  private void boot(StandInCloud.Machine machine) {
    zoneByHost.put(machine.host, machine.zone);
    StandInWorker worker =
        new StandInWorker(
            time,
            random.split(),
            net.from(machine.host, Gate.open()),
            machine,
            nodeAddresses,
            rules::job,
            REPORT,
            LEASE,
            (on, task) -> rules.started(on, task, workers.values()),
            rules::finished);
    workers.put(machine.name, worker);
    net.listen(Endpoint.parse(machine.address()), worker);
  }

  private void end(StandInCloud.Machine machine) {
    StandInWorker worker = workers.remove(machine.name);
    if (worker != null) {
      worker.die();
      net.close(Endpoint.parse(machine.address()));
    }
  }

  /** Plays a day: troubles for a while, then quiet until everything has to be over. */
  void play(double troubles, double quiet) {
    troubleEnd = troubles;
    net.copyReports(true);
    after(troubles, () -> net.copyReports(false));
    after(1, this::arrive);
    after(20, this::trouble);
    run(troubles + quiet);
    rules.checkAnswered();
    rules.check(workers.values());
    for (String id : rules.accepted()) {
      if (!rules.ended(id)) {
        throw new AssertionError("unfinished at the end: " + id + " " + nodes.get(0).controller);
      }
    }
    if (rules.starts() == 0) {
      throw new AssertionError("nothing_ran");
    }
  }

  int starts() {
    return rules.starts();
  }

  /** Plays on with arriving work and no troubles but those that the caller makes. */
  void playQuietly(double seconds) {
    if (troubleEnd == 0) {
      troubleEnd = Double.MAX_VALUE;
      after(1, this::arrive);
    }
    run(time.seconds() + seconds);
  }

  /** Cuts the leader off from all machines, and from nothing else; returns its name. */
  String cutLeaderFromWorkers(Duration length) {
    Node leader = leading().orElseThrow();
    workers
        .values()
        .forEach(worker -> net.cut(leader.address.host(), worker.machine().host, length));
    return leader.name();
  }

  /** Stops the machine with most tasks, which the cloud does not say for a while. */
  String killBusiestMachine() {
    StandInWorker victim =
        workers.values().stream()
            .max(Comparator.comparingInt(worker -> worker.onMachine().size()))
            .orElseThrow();
    victim.die();
    return victim.machine().name;
  }

  boolean rented(String machine) {
    return cloud.up().stream().anyMatch(item -> item.name.equals(machine));
  }

  void refuseMesh() {
    meshRefused = true;
  }

  /** Who leads, or null. */
  String leader() {
    return leading().map(Node::name).orElse(null);
  }

  /** How often a worker's lease ran out, over all machines that live. */
  long leasesLost() {
    return workers.values().stream().mapToLong(worker -> worker.session() - 1).sum();
  }

  private void run(double end) {
    Duration until = Duration.ofMillis((long) (end * 1000));
    while (time.step(until)) {
      rules.check(workers.values());
    }
  }

  private void after(double seconds, Runnable task) {
    time.schedule(Duration.ofNanos((long) (seconds * 1e9)), task);
  }

  private void arrive() {
    if (time.seconds() > troubleEnd) {
      return;
    }
    after(0.5 + random.nextDouble() * 6, this::arrive);
    boolean broken = random.nextInt(12) == 0;
    int size = 1 + random.nextInt(random.nextInt(10) == 0 ? 80 : 8);
    arrive(
        broken ? StandInWorker.BROKEN : "lane",
        random.nextBoolean() ? "red" : "blue",
        random.nextInt(3) == 0 ? Priority.HIGH : Priority.NORMAL,
        size,
        1 + random.nextInt(8),
        broken || random.nextInt(6) == 0);
  }

  /** A team without a guarantee brings one array, or many single tasks at once. */
  private void visit() {
    int tasks = random.nextBoolean() ? 1 : 400;
    for (int i = 0; i < 40; i += tasks) {
      arrive("visit", "guest", Priority.LOW, tasks, 0.25, false);
    }
  }

  private void arrive(
      String jobClass, String team, Priority priority, int size, double cpus, boolean cancelled) {
    boolean saves = random.nextBoolean();
    Job job =
        new Job(
            String.format("req-%06d", ++jobCount),
            jobClass,
            team,
            priority,
            size,
            new Resources(cpus, 0, Math.min(4, 4 * cpus)),
            "img-" + random.nextInt(3),
            1,
            null,
            random.nextInt(8) == 0 ? ZONES.get(random.nextInt(3)) : null,
            random.nextInt(8) == 0,
            random.nextInt(8) == 0,
            random.nextInt(4) != 0,
            Duration.ofSeconds(2 + random.nextInt(10)),
            saves ? Duration.ofSeconds(4) : Duration.ZERO,
            saves ? Duration.ofSeconds(1) : Duration.ZERO,
            null,
            Instant.EPOCH);
    rules.submitted(job);
    submit(job, 0);
    if (cancelled) {
      after(random.nextDouble() * 25, () -> cancel(job.id()));
    }
    if (random.nextInt(4) == 0) {
      // A repeated submission, maybe through another node, maybe after the end.
      after(random.nextDouble() * 60, () -> submit(job, 0));
    }
  }

  private Endpoint anyNode() {
    return nodes.get(random.nextInt(nodes.size())).address;
  }

  private void submit(Job job, int tries) {
    ask(
        Request.post("/api/jobs", Json.bytes(JobWire.encode(job))),
        5,
        (status, body, sent) -> {
          if (status == 200 || status == 201) {
            boolean first = !rules.accepted().contains(job.id());
            rules.accepted(job.id());
            rules.told(job.id(), body.path("status").asText(), sent);
            if (first) {
              poll(job.id());
            }
          } else if (status == 400 || status == 422) {
            rules.refused(job.id(), status);
            rules.broken(true, "refused", job.id() + " with " + status + ": " + body);
          } else if (tries < 40) {
            after(1, () -> submit(job, tries + 1));
          }
        });
  }

  private void poll(String id) {
    ask(
        Request.get("/api/jobs/" + id),
        2,
        (status, body, sent) -> {
          if (status == 200) {
            rules.told(id, body.path("status").asText(), sent);
          } else if (status == 404) {
            rules.told(id, "404", sent);
          }
        });
    after(rules.ended(id) ? 40 : 5.0 / storm, () -> poll(id));
  }

  private void cancel(String id) {
    rules.cancelAsked(id);
    ask(
        Request.post("/api/jobs/" + id + "/withdraw", new byte[0]),
        5,
        (status, body, sent) -> {
          if (status == 200) {
            rules.told(id, body.path("status").asText(), sent);
          } else {
            after(1, () -> cancel(id));
          }
        });
  }

  @FunctionalInterface
  private interface Answer {
    void take(int status, JsonNode body, Duration sent);
  }

  private void ask(Request request, int limit, Answer answer) {
    Duration sent = time.now();
    net.from("user", Gate.open())
        .send(anyNode(), request, Duration.ofSeconds(limit))
        .whenComplete(
            (reply, failure) -> {
              try {
                answer.take(
                    failure == null ? reply.status() : 0,
                    failure == null && reply.body().length > 0
                        ? Json.parseObject(reply.body())
                        : Json.object(),
                    sent);
              } catch (WireException e) {
                throw new AssertionError(e);
              }
            });
  }

  private void trouble() {
    if (time.seconds() > troubleEnd - 30) {
      return;
    }
    after(3 + random.nextDouble() * 20, this::trouble);
    if (random.nextInt(3) == 0) {
      // Two at once, or one in the middle of the other: most rules break where two troubles meet.
      after(random.nextDouble() * 6, this::strike);
    }
    strike();
  }

  private void strike() {
    Duration length = Duration.ofMillis(2000 + random.nextLong(25_000));
    Node node = nodes.get(random.nextInt(nodes.size()));
    switch (random.nextInt(26)) {
      case 0 -> node.crash(Duration.ofMillis(200 + random.nextLong(8000)));
      case 1 -> nodes.forEach(item -> item.crash(Duration.ofMillis(500 + random.nextLong(8000))));
      case 2 -> {
        state.setDown(true);
        time.schedule(length, () -> state.setDown(false));
      }
      case 3 -> {
        cloud.setDown(true);
        time.schedule(length, () -> cloud.setDown(false));
      }
      case 4 -> net.cut(node.address.host(), STATE.host(), length);
      case 5 -> {
        for (StandInCloud.Machine machine : cloud.up()) {
          if (random.nextInt(3) > 0) {
            net.cut(node.address.host(), machine.host, length);
          }
        }
      }
      case 6 -> anyWorker().ifPresent(worker -> worker.hang(length));
      case 7 -> anyWorker().ifPresent(StandInWorker::die);
      case 8 ->
          anyWorker()
              .ifPresent(
                  worker -> {
                    worker.warn(6);
                    after(6, () -> cloud.take(worker.machine().name));
                  });
      case 9 -> anyWorker().ifPresent(worker -> net.deafen(worker.machine().host, length));
      case 10 -> node.isolate(length);
      case 11 -> {
        // Back at once, and maybe gone again in the middle of the election that follows.
        node.crash(Duration.ofMillis(50 + random.nextLong(400)));
        after(0.5 + random.nextDouble(), () -> node.crash(Duration.ofMillis(100)));
      }
      case 12 -> leading().orElse(node).isolate(length);
      case 13 -> node.freeze(length);
      case 14 -> leading().orElse(node).freeze(Duration.ofMillis(500 + random.nextLong(40_000)));
      case 15 ->
          net.cutZone(
              ZONES.get(random.nextInt(3)), Duration.ofMillis(5000 + random.nextLong(45_000)));
      case 18 -> {
        state.holdBack(0.1 + random.nextDouble() / 2);
        time.schedule(length, () -> state.holdBack(0));
      }
      case 19 -> node.refuse(length);
      case 20 -> leading().orElse(node).refuse(length);
      case 21 -> {
        storm = 8;
        time.schedule(length, () -> storm = 1);
      }
      case 22 -> visit();
      case 24 -> anyWorker().ifPresent(worker -> worker.sicken(length.multipliedBy(3)));
      case 23 -> node.crash(Duration.ofMillis(12_000 + random.nextLong(78_000)));
      case 16 -> {
        meshRefused = true;
        time.schedule(length, () -> meshRefused = false);
      }
      case 17 -> {
        for (int i = 0; i < nodes.size(); i++) {
          Node next = nodes.get(i);
          after(6 * i, () -> next.crash(Duration.ofMillis(200 + random.nextLong(6000))));
        }
      }
      default -> {
        String zone = ZONES.get(random.nextInt(3));
        for (Node item : nodes) {
          for (StandInCloud.Machine machine : cloud.up()) {
            if (machine.zone.equals(zone) != ZONES.get(item.index % 3).equals(zone)) {
              net.cut(item.address.host(), machine.host, length);
            }
          }
        }
      }
    }
  }

  private Optional<Node> leading() {
    return nodes.stream().filter(Node::leads).findFirst();
  }

  private Optional<StandInWorker> anyWorker() {
    return workers.isEmpty()
        ? Optional.empty()
        : workers.values().stream().skip(random.nextInt(workers.size())).findFirst();
  }
}
