package io.cherryspool.sim.driver;

import com.fasterxml.jackson.databind.JsonNode;
import io.cherryspool.sim.loopback.ControllerProcess;
import io.cherryspool.sim.loopback.LoopbackCluster;
import io.cherryspool.sim.loopback.LoopbackCluster.StateStoreLoad;
import io.cherryspool.sim.loopback.LoopbackFleet;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.ToLongFunction;

/** Measures one loss of the state store's data and the recovery until tasks are placed again. */
final class RecoveryMeasurement {
  /** Parts of log lines of the controllers. */
  static final String LEADING_TEXT = "; rebuilding ownership";

  private static final String LOSS_NOTICED_TEXT = "has lost data";
  private static final String REBUILT_TEXT = "is whole";
  private static final String SERVING_TEXT = "serving incarnation";

  private static final Duration TIMEOUT = Duration.ofSeconds(90);
  private static final Duration SAMPLE_INTERVAL = Duration.ofMillis(50);
  private static final int SAMPLES_PER_S = (int) (1000 / SAMPLE_INTERVAL.toMillis());

  private final LoopbackCluster cluster;
  private final LoopbackFleet fleet;
  private final List<ControllerProcess> controllers;
  private final ControllerLogs logs;
  private final JsonNode snapshotStatus;
  private final double peakMemoryBeforeMib;
  private final FleetFaults faultsBefore;
  private final int runningBefore;
  private final int startedBefore;
  private final StateStoreLoad loadBefore;
  private final List<StateStoreLoad> samples = new ArrayList<>();
  private long lostAtNanos;
  private long firstStartAtNanos = -1;

  /**
   * The numbers of expired leases, tasks started twice and tasks ended late since the start of a
   * fleet.
   */
  private record FleetFaults(long expiredLeases, int startedTwice, int endedLate) {
    static FleetFaults of(LoopbackFleet fleet) {
      return new FleetFaults(
          fleet.expiredLeaseCount(),
          fleet.tasksStartedTwice().size(),
          fleet.tasksEndedLate().size());
    }
  }

  /**
   * Records the state before the loss.
   *
   * @param controllers the running processes, in the order in which they were started
   * @param snapshotStatus the status of a node's last snapshot, as reported to operators
   */
  RecoveryMeasurement(
      LoopbackCluster cluster, List<ControllerProcess> controllers, JsonNode snapshotStatus)
      throws IOException {
    this.cluster = cluster;
    this.fleet = cluster.fleet();
    this.controllers = controllers;
    this.logs = new ControllerLogs(controllers);
    this.snapshotStatus = snapshotStatus;
    this.runningBefore = fleet.runningTaskCount();
    this.peakMemoryBeforeMib = peakMemoryMib();
    this.faultsBefore = FleetFaults.of(fleet);
    this.loadBefore = cluster.stateStoreLoad();
    this.startedBefore = fleet.startedTaskCount();
  }

  /** Returns the process whose log shows that it leads. Valid only before any change of leader. */
  private ControllerProcess leader() {
    return controllers.stream()
        .filter(controller -> controller.timeOfFirstLine(LEADING_TEXT, 0) >= 0)
        .findFirst()
        .orElseThrow();
  }

  /**
   * Makes the state store lose its data, kills the leader if requested, and waits until a leader
   * has started a task again.
   */
  void run(boolean killsLeader) throws InterruptedException {
    ControllerProcess leader = leader();
    lostAtNanos = System.nanoTime();
    cluster.loseStateStoreData();
    if (killsLeader) {
      leader.kill();
      controllers.remove(leader);
    }
    long end = lostAtNanos + TIMEOUT.toNanos();
    while (System.nanoTime() < end && (!hasNewLeader() || firstStartAtNanos < 0)) {
      Thread.sleep(SAMPLE_INTERVAL.toMillis());
      samples.add(cluster.stateStoreLoad());
      if (firstStartAtNanos < 0 && fleet.startedTaskCount() > startedBefore) {
        firstStartAtNanos = System.nanoTime();
      }
      if (hasNewLeader() && firstStartAtNanos < 0) {
        // Makes room, so that the new leader can start another task.
        fleet.completeTasks(1);
      }
    }
  }

  private boolean hasNewLeader() {
    return logs.timeOfFirst(LEADING_TEXT, lostAtNanos) >= 0;
  }

  /** Prints the figures as rows of a Markdown table. */
  void print(int endedJobs) throws IOException {
    StateStoreLoad load = cluster.stateStoreLoad();
    printRow(
        "machines, running tasks, ended jobs", cluster.machineCount(), runningBefore, endedJobs);
    printRow(
        "noticed by the first and the last node, ms",
        millisSinceLoss(logs.timeOfFirst(LOSS_NOTICED_TEXT, lostAtNanos)),
        millisSinceLoss(logs.timeOfLast(LOSS_NOTICED_TEXT, lostAtNanos)));
    printRow("rebuilt, ms", millisSinceLoss(logs.timeOfFirst(REBUILT_TEXT, lostAtNanos)));
    printRow("served again, ms", millisSinceLoss(logs.timeOfFirst(SERVING_TEXT, lostAtNanos)));
    printRow("led again, ms", millisSinceLoss(logs.timeOfFirst(LEADING_TEXT, lostAtNanos)));
    printRow("first task started, ms", millisSinceLoss(firstStartAtNanos));
    printRow(
        "requests, changes meanwhile",
        load.requests() - loadBefore.requests(),
        load.changes() - loadBefore.changes());
    printRow(
        "most requests, changes in a second",
        maxPerSecond(StateStoreLoad::requests),
        maxPerSecond(StateStoreLoad::changes));
    printRow(
        "most memory of a controller before, after, MiB", peakMemoryBeforeMib, peakMemoryMib());
    printRow(
        "snapshot: bytes, ms",
        snapshotStatus.path("bytes").asDouble(),
        snapshotStatus.path("took_ms").asDouble());
    FleetFaults faults = FleetFaults.of(fleet);
    printRow(
        "before the loss: leases lost, tasks on two machines, ended late by the fake workers",
        faultsBefore.expiredLeases,
        faultsBefore.startedTwice,
        faultsBefore.endedLate);
    printRow(
        "since the loss, the same",
        faults.expiredLeases - faultsBefore.expiredLeases,
        faults.startedTwice - faultsBefore.startedTwice,
        faults.endedLate - faultsBefore.endedLate);
  }

  private double millisSinceLoss(long atNanos) {
    return atNanos < 0 ? Double.NaN : (atNanos - lostAtNanos) / 1e6;
  }

  private double maxPerSecond(ToLongFunction<StateStoreLoad> count) {
    long max = 0;
    for (int i = SAMPLES_PER_S; i < samples.size(); i++) {
      long earlier = count.applyAsLong(samples.get(i - SAMPLES_PER_S));
      max = Math.max(max, count.applyAsLong(samples.get(i)) - earlier);
    }
    return max;
  }

  private double peakMemoryMib() throws IOException {
    double max = 0;
    for (ControllerProcess controller : controllers) {
      max = Math.max(max, controller.statusMib("VmHWM"));
    }
    return max;
  }

  private static void printRow(String name, double... figures) {
    StringBuilder line = new StringBuilder("| ").append(name).append(" |");
    for (double figure : figures) {
      line.append(String.format(" %.0f", figure));
    }
    System.out.println(line.append(" |"));
  }
}
