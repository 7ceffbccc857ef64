package io.cherryspool.sim.cluster;

import io.cherryspool.config.RecoverySettings;
import io.cherryspool.http.Endpoint;
import io.cherryspool.model.Job;
import io.cherryspool.model.Team;
import io.cherryspool.reachability.VerdictRule;
import io.cherryspool.sim.check.RuleChecker;
import io.cherryspool.sim.fakes.FakeCloud;
import io.cherryspool.sim.fakes.FakeStateStore;
import io.cherryspool.sim.fakes.FakeWorker;
import io.cherryspool.sim.fakes.WorkerSettings;
import io.cherryspool.sim.fakes.Workload;
import io.cherryspool.sim.network.SimulatedNetwork;
import io.cherryspool.sim.time.VirtualTime;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;

/**
 * Controllers with a fake state store, cloud and workers in simulated time. The users' rules are
 * checked after each event. It injects no fault by itself: a directed test brings its own, in
 * randomized runs {@link FaultInjector} does.
 *
 * <p>All that happens is derived from the seed. Single-threaded.
 *
 * <p>It is longer than other classes, since tests reach every part of a run through it: each of its
 * methods is a few lines.
 */
public final class SimulatedCluster {
  public static final List<String> ZONES = List.of("a", "b", "c");

  /** After so long without an answered heartbeat workers kill their tasks. */
  public static final Duration LEASE = Duration.ofSeconds(16);

  /** Tasks of a cancelled job are gone within this time after the user's confirmation. */
  public static final Duration CANCEL_LIMIT = Duration.ofSeconds(36);

  private static final double STATE_WRITES_PER_S = 60;
  private static final int CLOUD_CAPACITY = 12;
  private static final int FIRST_MACHINES = 5;

  /** The shares of transactions without an answer and of failing tasks in randomized runs. */
  private static final double RANDOM_UNANSWERED_SHARE = 0.01;

  private static final double RANDOM_FAILURE_SHARE = 0.03;

  private final VirtualTime time = new VirtualTime();
  private final JobFactory jobs = new JobFactory();
  private final SplittableRandom random;
  private final ClusterSettings settings;
  private final SimulatedNetwork network;
  private final FakeStateStore stateStore;
  private final FakeCloud cloud;
  private final SimulatedFleet fleet;
  private final RuleChecker rules;
  private final SimulatedUsers users;
  private final List<SimulatedController> nodes = new ArrayList<>();
  private final Map<String, String> zoneByHost = new HashMap<>();
  private final Optional<VerdictRule> verdictRule;
  private boolean isMeshDown;

  /** Three to five controllers, with transactions that are not answered and tasks that fail. */
  static SimulatedCluster random(long seed) {
    return random(seed, Optional.empty());
  }

  /** A random cluster whose nodes obey these verdicts on their links. */
  public static SimulatedCluster withVerdicts(long seed, VerdictRule verdicts) {
    return random(seed, Optional.of(verdicts));
  }

  /** A random cluster with small quotas, and no capacity in one zone but the first machines. */
  public static SimulatedCluster withScarceCapacity(long seed) {
    SimulatedCluster cluster = random(seed, Optional.empty(), ClusterSettings.TIGHT_TEAMS);
    cluster.cloud.exhaustZone(ZONES.get((int) (seed % ZONES.size())));
    return cluster;
  }

  private static SimulatedCluster random(long seed, Optional<VerdictRule> verdicts) {
    return random(seed, verdicts, ClusterSettings.TEAMS);
  }

  private static SimulatedCluster random(
      long seed, Optional<VerdictRule> verdicts, List<Team> teams) {
    SplittableRandom random = new SplittableRandom(seed);
    return new SimulatedCluster(
        random,
        new ClusterSettings(3 + random.nextInt(3), STATE_WRITES_PER_S, Optional.empty(), teams),
        RANDOM_UNANSWERED_SHARE,
        RANDOM_FAILURE_SHARE,
        verdicts);
  }

  /** So many controllers, and no fault but those that the test makes. */
  public static SimulatedCluster of(long seed, int controllers) {
    return of(seed, controllers, STATE_WRITES_PER_S);
  }

  /** As {@link #of(long, int)}, with a state store that takes so many changes a second. */
  public static SimulatedCluster of(long seed, int controllers, double writeRate) {
    return new SimulatedCluster(
        new SplittableRandom(seed),
        new ClusterSettings(controllers, writeRate, Optional.empty(), ClusterSettings.TEAMS),
        0,
        0,
        Optional.empty());
  }

  /** As {@link #of(long, int)}, with controllers that rebuild lost records. */
  public static SimulatedCluster withRecovery(long seed, int controllers) {
    return withRecovery(seed, controllers, RecoverySettings.DEFAULTS);
  }

  /** As above; with a directory for snapshots each node has a disk that outlives its processes. */
  public static SimulatedCluster withRecovery(
      long seed, int controllers, RecoverySettings recovery) {
    return new SimulatedCluster(
        new SplittableRandom(seed),
        new ClusterSettings(
            controllers, STATE_WRITES_PER_S, Optional.of(recovery), ClusterSettings.TEAMS),
        0,
        0,
        Optional.empty());
  }

  private SimulatedCluster(
      SplittableRandom random,
      ClusterSettings settings,
      double unansweredShare,
      double failureShare,
      Optional<VerdictRule> verdicts) {
    this.random = random;
    this.settings = settings;
    verdictRule = verdicts;
    // Each split of the random numbers must stay in its place, or all seeds play other runs.
    network = new SimulatedNetwork(time, random.split(), host -> zoneByHost.getOrDefault(host, ""));
    rules = new RuleChecker(time, settings.teams(), CANCEL_LIMIT);
    stateStore = new FakeStateStore(time, random.split(), unansweredShare);
    fleet =
        new SimulatedFleet(
            time,
            random,
            network,
            settings.addresses(),
            new WorkerSettings(ClusterSettings.HEARTBEAT_INTERVAL, LEASE, failureShare),
            new SubmittedJobs());
    cloud =
        new FakeCloud(
            time,
            random.split(),
            ClusterSettings.MACHINE_TYPES,
            CLOUD_CAPACITY,
            FakeCloud.DEFAULT_NETWORK,
            this::boot,
            fleet::end);
    stateStore.limitWriteRate(settings.stateWritesPerS());
    network.listen(ClusterSettings.STATE, stateStore);
    network.listen(ClusterSettings.CLOUD, cloud);
    for (int i = 0; i < settings.addresses().size(); i++) {
      addController(i);
    }
    users =
        new SimulatedUsers(
            time, network, random.split(), rules, List.copyOf(settings.addresses().values()));
    nodes.forEach(SimulatedController::start);
    for (int i = 0; i < FIRST_MACHINES; i++) {
      cloud.addMachine("box", ClusterSettings.zone(i), i % 2 == 0, Duration.ofSeconds(1));
    }
  }

  private void addController(int index) {
    Endpoint address = settings.address(index);
    zoneByHost.put(address.host(), ClusterSettings.zone(index));
    nodes.add(new SimulatedController(this, random.split(), index, address));
  }

  private void boot(FakeCloud.Machine machine) {
    zoneByHost.put(machine.host(), machine.zone());
    fleet.boot(machine);
  }

  /** What users have submitted; the rules and the users are sent what becomes of the tasks. */
  private final class SubmittedJobs implements Workload {
    @Override
    public Optional<Job> job(String id) {
      return Optional.ofNullable(rules.job(id));
    }

    @Override
    public void taskStarted(FakeWorker worker, String task) {
      rules.taskStarted(worker, task, fleet.workers());
    }

    @Override
    public void taskCompleted(String task) {
      rules.taskCompleted(task);
      users.taskFinished(task);
    }
  }

  /** What decides on the nodes' links instead of the program's own rule, if anything does. */
  Optional<VerdictRule> verdictRule() {
    return verdictRule;
  }

  ClusterSettings settings() {
    return settings;
  }

  public VirtualTime time() {
    return time;
  }

  public SimulatedNetwork network() {
    return network;
  }

  public FakeStateStore stateStore() {
    return stateStore;
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

  public JobFactory jobs() {
    return jobs;
  }

  /** The machines that are up. */
  public SimulatedFleet fleet() {
    return fleet;
  }

  /** The numbers that this run draws from; what a test draws changes the rest of the run. */
  public SplittableRandom random() {
    return random;
  }

  public List<SimulatedController> nodes() {
    return Collections.unmodifiableList(nodes);
  }

  /** The workers of the machines that are up, in the order of the machines' names. */
  public Collection<FakeWorker> workers() {
    return fleet.workers();
  }

  /**
   * Goes on for so long.
   *
   * @throws AssertionError at the first event after which a rule is broken
   */
  public void run(Duration length) {
    Duration until = time.now().plus(length);
    while (time.runNextEvent(until)) {
      rules.check(fleet.workers());
    }
  }

  public void run(double seconds) {
    run(toDuration(seconds));
  }

  /** Runs the task in so many seconds, as an event of its own. */
  public void schedule(double seconds, Runnable task) {
    time.schedule(toDuration(seconds), task);
  }

  private static Duration toDuration(double seconds) {
    return Duration.ofNanos((long) (seconds * 1e9));
  }

  public Optional<SimulatedController> currentLeader() {
    return nodes.stream().filter(SimulatedController::isLeader).findFirst();
  }

  /** A leader that is not this node; both may hold leases for a moment. */
  public Optional<SimulatedController> leaderOtherThan(SimulatedController node) {
    return nodes.stream().filter(other -> other != node && other.isLeader()).findFirst();
  }

  /** The leader; fails the test if there is none. */
  public SimulatedController leader() {
    return currentLeader()
        .orElseThrow(() -> new AssertionError("nobody leads at " + time.seconds()));
  }

  /** The controller with the next index, the first one after the last. */
  public SimulatedController nodeAfter(SimulatedController node) {
    return nodes.get((nodes.indexOf(node) + 1) % nodes.size());
  }

  boolean isMeshDown() {
    return isMeshDown;
  }

  /** Whether all heartbeats between controllers are lost. */
  public void setMeshDown(boolean value) {
    isMeshDown = value;
  }

  /** Takes the state store down for so long. */
  public void stateStoreOutage(Duration length) {
    stateStore.setDown(true);
    time.schedule(length, () -> stateStore.setDown(false));
  }

  /** Cuts the leader off from all machines, and from nothing else; returns its name. */
  public String cutLeaderFromWorkers(Duration length) {
    SimulatedController node = leader();
    fleet
        .workers()
        .forEach(worker -> network.cut(node.address().host(), worker.machine().host(), length));
    return node.name();
  }
}
