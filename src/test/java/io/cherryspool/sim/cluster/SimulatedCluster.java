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
 * A cluster in simulated time: controllers with a fake state store, cloud and workers, and
 * simulated users. The rules that users rely on are checked after each event. The only faults that
 * occur without being injected are a small share of lost replies in the network and, in randomized
 * clusters, small shares of unanswered transactions and of randomly failing tasks. Tests inject
 * specific faults, and {@link FaultInjector} injects random ones.
 *
 * <p>Each run is determined by its seed. Single-threaded.
 *
 * <p>This class is longer than others because tests access all parts of a run through it. Each of
 * its methods has only a few lines.
 */
public final class SimulatedCluster {
  public static final List<String> ZONES = List.of("a", "b", "c");

  /**
   * The length of a worker lease. A worker kills its tasks after this time without a reply to a
   * heartbeat.
   */
  public static final Duration LEASE = Duration.ofSeconds(16);

  /**
   * All tasks of a cancelled job must end within this time after a user received the confirmation.
   */
  public static final Duration CANCEL_LIMIT = Duration.ofSeconds(36);

  private static final double STATE_STORE_WRITES_PER_S = 60;
  private static final int CLOUD_CAPACITY = 12;
  private static final int INITIAL_MACHINES = 5;

  /** The share of transactions without a reply in randomized clusters. */
  private static final double RANDOM_UNANSWERED_SHARE = 0.01;

  /** The share of failing tasks in randomized clusters. */
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

  /**
   * Creates a randomized cluster: three to five controllers, a small share of transactions without
   * a reply, and a small share of failing tasks.
   */
  static SimulatedCluster random(long seed) {
    return random(seed, Optional.empty());
  }

  /**
   * Creates a randomized cluster whose nodes determine the verdicts on their links by the given
   * rule.
   */
  public static SimulatedCluster withVerdicts(long seed, VerdictRule verdicts) {
    return random(seed, Optional.of(verdicts));
  }

  /**
   * Creates a randomized cluster with small quotas, and with one zone in which the cloud has no
   * capacity beyond the initial machines.
   */
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
        new ClusterSettings(
            3 + random.nextInt(3), STATE_STORE_WRITES_PER_S, Optional.empty(), teams),
        RANDOM_UNANSWERED_SHARE,
        RANDOM_FAILURE_SHARE,
        verdicts);
  }

  /**
   * Creates a cluster without unanswered transactions or randomly failing tasks, for tests that
   * inject faults.
   */
  public static SimulatedCluster of(long seed, int controllers) {
    return of(seed, controllers, STATE_STORE_WRITES_PER_S);
  }

  /**
   * Creates a cluster as {@link #of(long, int)} does, with a state store that accepts {@code
   * writeRate} changes a second.
   */
  public static SimulatedCluster of(long seed, int controllers, double writeRate) {
    return new SimulatedCluster(
        new SplittableRandom(seed),
        new ClusterSettings(controllers, writeRate, Optional.empty(), ClusterSettings.TEAMS),
        0,
        0,
        Optional.empty());
  }

  /**
   * Creates a cluster as {@link #of(long, int)} does, with controllers that rebuild lost records
   * with the default settings.
   */
  public static SimulatedCluster withRecovery(long seed, int controllers) {
    return withRecovery(seed, controllers, RecoverySettings.DEFAULTS);
  }

  /**
   * Creates a cluster as {@link #of(long, int)} does, with controllers that rebuild lost records.
   * If the settings have a directory for snapshots, each node has a disk whose contents survive a
   * restart of its process.
   */
  public static SimulatedCluster withRecovery(
      long seed, int controllers, RecoverySettings recovery) {
    return new SimulatedCluster(
        new SplittableRandom(seed),
        new ClusterSettings(
            controllers, STATE_STORE_WRITES_PER_S, Optional.of(recovery), ClusterSettings.TEAMS),
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
    // The order of the splits of the random generator must not change, since all seeds would then
    // produce different runs.
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
            new SubmittedWorkload());
    cloud =
        new FakeCloud(
            time,
            random.split(),
            ClusterSettings.MACHINE_TYPES,
            CLOUD_CAPACITY,
            FakeCloud.DEFAULT_NETWORK,
            this::boot,
            fleet::shutDown);
    stateStore.limitWriteRate(settings.stateWritesPerS());
    network.listen(ClusterSettings.STATE_STORE, stateStore);
    network.listen(ClusterSettings.CLOUD, cloud);
    for (int i = 0; i < settings.addresses().size(); i++) {
      addController(i);
    }
    users =
        new SimulatedUsers(
            time, network, random.split(), rules, List.copyOf(settings.addresses().values()));
    nodes.forEach(SimulatedController::start);
    for (int i = 0; i < INITIAL_MACHINES; i++) {
      cloud.addMachine("box", ClusterSettings.nodeZone(i), i % 2 == 0, Duration.ofSeconds(1));
    }
  }

  private void addController(int index) {
    Endpoint address = settings.address(index);
    zoneByHost.put(address.host(), ClusterSettings.nodeZone(index));
    nodes.add(new SimulatedController(this, random.split(), index, address));
  }

  private void boot(FakeCloud.Machine machine) {
    zoneByHost.put(machine.host(), machine.zone());
    fleet.boot(machine);
  }

  /**
   * The jobs that users have submitted. Passes task starts and completions to the rule checker and
   * the users.
   */
  private final class SubmittedWorkload implements Workload {
    @Override
    public Optional<Job> job(String id) {
      return Optional.ofNullable(rules.job(id));
    }

    @Override
    public void onTaskStarted(FakeWorker worker, String task) {
      rules.recordTaskStart(worker, task, fleet.workers());
    }

    @Override
    public void onTaskCompleted(String task) {
      rules.recordTaskCompletion(task);
      users.onTaskCompleted(task);
    }
  }

  /**
   * Returns the rule that replaces the default verdict rule of the nodes; empty to use the default.
   */
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

  /** Returns the machines that are up. */
  public SimulatedFleet fleet() {
    return fleet;
  }

  /**
   * Returns the random generator of this run. A number that a test draws from it changes the rest
   * of the run.
   */
  public SplittableRandom random() {
    return random;
  }

  public List<SimulatedController> nodes() {
    return Collections.unmodifiableList(nodes);
  }

  /** Returns the workers of the machines that are up, in the order of their machines' names. */
  public Collection<FakeWorker> workers() {
    return fleet.workers();
  }

  /**
   * Runs all events of the given duration of simulated time, and checks the rules after each.
   *
   * @throws AssertionError after the first event that breaks a rule
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

  /** Schedules the task as an event after the given number of seconds. */
  public void schedule(double seconds, Runnable task) {
    time.schedule(toDuration(seconds), task);
  }

  private static Duration toDuration(double seconds) {
    return Duration.ofNanos((long) (seconds * 1e9));
  }

  public Optional<SimulatedController> currentLeader() {
    return nodes.stream().filter(SimulatedController::isLeader).findFirst();
  }

  /**
   * Returns a leader other than the given node. During an election both can be leaders for a short
   * time.
   */
  public Optional<SimulatedController> leaderOtherThan(SimulatedController node) {
    return nodes.stream().filter(other -> other != node && other.isLeader()).findFirst();
  }

  /** Returns the leader. Fails the test if there is none. */
  public SimulatedController leader() {
    return currentLeader()
        .orElseThrow(
            () -> new AssertionError("no controller is leader at second " + time.seconds()));
  }

  /** Returns the controller with the next index; for the last controller, the first one. */
  public SimulatedController nodeAfter(SimulatedController node) {
    return nodes.get((nodes.indexOf(node) + 1) % nodes.size());
  }

  boolean isMeshDown() {
    return isMeshDown;
  }

  /** Sets whether all heartbeats between controllers are lost. */
  public void setMeshDown(boolean value) {
    isMeshDown = value;
  }

  /** Takes the state store down for the given duration. */
  public void takeStateStoreDown(Duration length) {
    stateStore.setDown(true);
    time.schedule(length, () -> stateStore.setDown(false));
  }

  /**
   * Cuts the connections between the leader and all machines that are up, and no others. Returns
   * the name of the leader.
   */
  public String cutLeaderFromWorkers(Duration length) {
    SimulatedController node = leader();
    fleet
        .workers()
        .forEach(worker -> network.cut(node.address().host(), worker.machine().host(), length));
    return node.name();
  }
}
