package io.cherryspool.sim.cluster;

import io.cherryspool.config.OperatorSettings;
import io.cherryspool.config.RecoverySettings;
import io.cherryspool.config.Settings;
import io.cherryspool.http.Endpoint;
import io.cherryspool.http.Request;
import io.cherryspool.model.Job;
import io.cherryspool.model.MachineType;
import io.cherryspool.model.Priority;
import io.cherryspool.model.Resources;
import io.cherryspool.model.Team;
import io.cherryspool.reachability.VerdictRule;
import io.cherryspool.sim.check.RuleChecker;
import io.cherryspool.sim.fakes.FakeCloud;
import io.cherryspool.sim.fakes.FakeStateStore;
import io.cherryspool.sim.fakes.FakeWorker;
import io.cherryspool.sim.network.SimulatedNetwork;
import io.cherryspool.sim.time.ProcessInbox;
import io.cherryspool.sim.time.VirtualTime;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.TreeMap;

/**
 * Controllers among the stand-ins in simulated time, with the rules checked after each step. It
 * makes no trouble by itself: a directed test brings its own, random days let {@link FaultInjector}
 * do.
 */
public final class SimulatedCluster {
  public static final List<String> ZONES = List.of("a", "b", "c");
  static final Endpoint STATE = new Endpoint("10.2.0.1", 2379);
  static final Duration HEARTBEAT_INTERVAL = Duration.ofMillis(2500);
  public static final Duration LEASE = Duration.ofSeconds(16);
  public static final Duration CANCEL_LIMIT = Duration.ofSeconds(36);
  private static final double WRITES = 60;
  private static final Endpoint CLOUD = new Endpoint("10.2.0.2", 8443);

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

  private static final List<Team> TEAMS =
      List.of(
          new Team("red", 40, 64, 0, 0),
          new Team("blue", 40, 96, 0, 0),
          new Team("guest", 0, 0, 0, 0));

  private final VirtualTime time = new VirtualTime();
  private final SplittableRandom random;
  private final double writeRate;
  private final double faults;
  private final SimulatedNetwork network;
  private final FakeStateStore state;
  private final FakeCloud cloud;
  private final RuleChecker rules;
  private final SimulatedUsers users;
  private final List<SimulatedController> nodes = new ArrayList<>();
  private final Map<String, Endpoint> nodeAddresses = new LinkedHashMap<>();
  private final Map<String, FakeWorker> workers = new TreeMap<>();
  private final Map<String, String> zoneByHost = new HashMap<>();
  private final OperatorSettings operatorSettings;
  private final Optional<VerdictRule> verdictRule;
  private boolean isMeshDown;
  private int jobCount;

  /** Three to five controllers, and a state service that loses an answer now and then. */
  static SimulatedCluster random(long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    return new SimulatedCluster(
        random, 3 + random.nextInt(3), 0.01, WRITES, 0.03, Optional.empty(), Optional.empty());
  }

  /** So many controllers, and nothing lost that the test does not lose itself. */
  public static SimulatedCluster of(long seed, int controllers) {
    return of(seed, controllers, WRITES);
  }

  /** As above, with a state service that takes so many changes a second. */
  public static SimulatedCluster of(long seed, int controllers, double writeRate) {
    return new SimulatedCluster(
        new SplittableRandom(seed),
        controllers,
        0,
        writeRate,
        0,
        Optional.empty(),
        Optional.empty());
  }

  /** So many controllers that look for losses of their state, and rebuild it. */
  public static SimulatedCluster recovering(long seed, int controllers) {
    return recovering(seed, controllers, RecoverySettings.DEFAULTS);
  }

  /** As above; with a directory for snapshots each node has a disk that outlives its processes. */
  public static SimulatedCluster recovering(long seed, int controllers, RecoverySettings recovery) {
    return new SimulatedCluster(
        new SplittableRandom(seed),
        controllers,
        0,
        WRITES,
        0,
        Optional.of(recovery),
        Optional.empty());
  }

  /** A random cluster whose nodes obey these verdicts on their links. */
  public static SimulatedCluster withVerdicts(long seed, VerdictRule verdicts) {
    SplittableRandom random = new SplittableRandom(seed);
    return new SimulatedCluster(
        random, 3 + random.nextInt(3), 0.01, WRITES, 0.03, Optional.empty(), Optional.of(verdicts));
  }

  /** Who judges the nodes' links, if it is not to be done as usual. */
  Optional<VerdictRule> verdictRule() {
    return verdictRule;
  }

  OperatorSettings operatorSettings() {
    return operatorSettings;
  }

  private SimulatedCluster(
      SplittableRandom random,
      int controllers,
      double unanswered,
      double writeRate,
      double faults,
      Optional<RecoverySettings> recovery,
      Optional<VerdictRule> verdicts) {
    this.verdictRule = verdicts;
    OperatorSettings defaults = OperatorSettings.DEFAULTS;
    this.operatorSettings =
        new OperatorSettings(
            defaults.roundMax(),
            defaults.stateLease(),
            defaults.failureCap(),
            defaults.idleKeep(),
            defaults.beginWithin(),
            recovery,
            defaults.partitions());
    this.random = random;
    this.writeRate = writeRate;
    this.faults = faults;
    network = new SimulatedNetwork(time, random.split(), host -> zoneByHost.getOrDefault(host, ""));
    rules = new RuleChecker(time, TEAMS, CANCEL_LIMIT);
    state = new FakeStateStore(time, random.split(), unanswered);
    cloud =
        new FakeCloud(
            time,
            random.split(),
            List.of(BOX, CRATE),
            12,
            FakeCloud.NETWORK,
            this::boot,
            this::end);
    state.limitWriteRate(writeRate);
    network.listen(STATE, state);
    network.listen(CLOUD, cloud);
    for (int i = 0; i < controllers; i++) {
      Endpoint address = new Endpoint("10.0.0." + (i + 1), 8080);
      nodeAddresses.put("node-" + i, address);
      zoneByHost.put(address.host(), ZONES.get(i % 3));
      nodes.add(new SimulatedController(this, random.split(), i, address));
    }
    users =
        new SimulatedUsers(
            time, network, random.split(), rules, List.copyOf(nodeAddresses.values()));
    nodes.forEach(SimulatedController::start);
    for (int i = 0; i < 5; i++) {
      cloud.addMachine("box", ZONES.get(i % 3), i % 2 == 0, Duration.ofSeconds(1));
    }
  }

  public VirtualTime time() {
    return time;
  }

  public SimulatedNetwork network() {
    return network;
  }

  public FakeStateStore state() {
    return state;
  }

  public FakeCloud cloud() {
    return cloud;
  }

  public RuleChecker rules() {
    return rules;
  }

  public SimulatedUsers users() {
    return users;
  }

  public SplittableRandom random() {
    return random;
  }

  public List<SimulatedController> nodes() {
    return Collections.unmodifiableList(nodes);
  }

  /** The machines that are up, by name. */
  public Collection<FakeWorker> workers() {
    return Collections.unmodifiableCollection(workers.values());
  }

  /** Those of the machines that run tasks of the job. */
  public List<FakeWorker> workersRunning(Job job) {
    return workers.values().stream()
        .filter(
            worker ->
                worker.runningTasks().stream().anyMatch(task -> task.startsWith(job.id() + "/")))
        .toList();
  }

  /** How many tasks of the job run. */
  public int runningTaskCount(Job job) {
    return (int)
        workers.values().stream()
            .flatMap(worker -> worker.runningTasks().stream())
            .filter(task -> task.startsWith(job.id() + "/"))
            .count();
  }

  Settings settings(int index) {
    List<Settings.Peer> peers = new ArrayList<>();
    for (int i = 0; i < nodeAddresses.size(); i++) {
      if (i != index) {
        peers.add(new Settings.Peer("node-" + i, mesh(i)));
      }
    }
    return new Settings(
        "node-" + index,
        ZONES.get(index % 3),
        nodeAddresses.get("node-" + index),
        mesh(index),
        peers,
        CLOUD,
        STATE,
        TEAMS,
        Map.of(),
        HEARTBEAT_INTERVAL,
        LEASE,
        CANCEL_LIMIT,
        new Settings.StateStoreLimits(150, writeRate, 2048, 12),
        6,
        Duration.ofSeconds(6),
        1000);
  }

  private Endpoint mesh(int index) {
    return new Endpoint(nodeAddresses.get("node-" + index).host(), 8081);
  }

  private void boot(FakeCloud.Machine machine) {
    zoneByHost.put(machine.host, machine.zone);
    FakeWorker worker =
        new FakeWorker(
            time,
            random.split(),
            network.from(machine.host, ProcessInbox.alwaysOpen()),
            machine,
            nodeAddresses,
            rules::job,
            HEARTBEAT_INTERVAL,
            LEASE,
            faults,
            (on, task) -> rules.started(on, task, workers.values()),
            this::finished);
    workers.put(machine.name, worker);
    network.listen(Endpoint.parse(machine.address()), worker);
  }

  private void finished(String task) {
    rules.finished(task);
    users.taskFinished(task);
  }

  private void end(FakeCloud.Machine machine) {
    FakeWorker worker = workers.remove(machine.name);
    if (worker != null) {
      worker.kill();
      network.close(Endpoint.parse(machine.address()));
    }
  }

  /** A job of its own number; any machine and zone will do, and it never saves. */
  public Job job(String team, int tasks, double cpus, Duration run) {
    return job(team, Priority.NORMAL, tasks, cpus, run, null, false);
  }

  /** One that goes before others. */
  public Job urgentJob(String team, int tasks, double cpus, Duration run) {
    return job(team, Priority.HIGH, tasks, cpus, run, null, false);
  }

  /** One that may run in a named zone only, or in any, but all of it in the same. */
  public Job zoneBoundJob(
      String team, int tasks, double cpus, Duration run, String zone, boolean oneZone) {
    return job(team, Priority.NORMAL, tasks, cpus, run, zone, oneZone);
  }

  private Job job(
      String team,
      Priority priority,
      int tasks,
      double cpus,
      Duration run,
      String zone,
      boolean oneZone) {
    // The stand-in workers run a task for half of the estimate and up to 4 s more.
    return new Job(
        nextId(),
        "lane",
        team,
        priority,
        tasks,
        new Resources(cpus, 0, Math.min(4, 4 * cpus)),
        "img-0",
        1,
        null,
        zone,
        oneZone,
        false,
        true,
        run.multipliedBy(2),
        Duration.ZERO,
        Duration.ZERO,
        null,
        Instant.EPOCH);
  }

  String nextId() {
    return String.format("req-%06d", ++jobCount);
  }

  /** Goes on for so long; a broken rule fails the test at that step. */
  public void run(Duration length) {
    Duration until = time.now().plus(length);
    while (time.runNextEvent(until)) {
      rules.check(workers.values());
    }
  }

  public void run(double seconds) {
    run(Duration.ofNanos((long) (seconds * 1e9)));
  }

  public void schedule(double seconds, Runnable task) {
    time.schedule(Duration.ofNanos((long) (seconds * 1e9)), task);
  }

  public Optional<SimulatedController> currentLeader() {
    return nodes.stream().filter(SimulatedController::isLeader).findFirst();
  }

  /** Another than this one that leads. */
  public Optional<SimulatedController> leaderOtherThan(SimulatedController old) {
    return nodes.stream().filter(node -> node != old && node.isLeader()).findFirst();
  }

  /** Who leads; a test that calls this rests on there being one. */
  public SimulatedController leader() {
    return currentLeader()
        .orElseThrow(() -> new AssertionError("nobody leads at " + time.seconds()));
  }

  /** The controller next to this one. */
  public SimulatedController nodeAfter(SimulatedController node) {
    return nodes.get((nodes.indexOf(node) + 1) % nodes.size());
  }

  boolean isMeshDown() {
    return isMeshDown;
  }

  public void setMeshDown(boolean value) {
    isMeshDown = value;
  }

  public void stateStoreOutage(Duration length) {
    state.setDown(true);
    time.schedule(length, () -> state.setDown(false));
  }

  /** Cuts the leader off from all machines, and from nothing else; returns its name. */
  public String cutLeaderFromWorkers(Duration length) {
    SimulatedController node = leader();
    workers
        .values()
        .forEach(worker -> network.cut(node.address().host(), worker.machine().host, length));
    return node.name();
  }

  /** Stops the machine with most tasks, which the cloud does not say for a while. */
  public String killBusiestMachine() {
    FakeWorker victim =
        workers.values().stream()
            .max(Comparator.comparingInt(worker -> worker.runningTasks().size()))
            .orElseThrow();
    victim.kill();
    return victim.machine().name;
  }

  public boolean isRented(String machine) {
    return cloud.up().stream().anyMatch(item -> item.name.equals(machine));
  }

  /** An operator asks any node; returns the status of the answer, 0 without one. */
  public int postRecoveryCommand(String what, String body) {
    int[] status = {0};
    network
        .from("operator", ProcessInbox.alwaysOpen())
        .send(
            nodes.get(0).address(),
            Request.post("/recovery/" + what, body.getBytes(StandardCharsets.UTF_8)),
            Duration.ofSeconds(2))
        .thenAccept(reply -> status[0] = reply.status());
    run(2.5);
    return status[0];
  }

  /** How often a worker's lease ran out, over all machines that live. */
  public long expiredLeases() {
    return workers.values().stream().mapToLong(worker -> worker.agentEpoch() - 1).sum();
  }
}
