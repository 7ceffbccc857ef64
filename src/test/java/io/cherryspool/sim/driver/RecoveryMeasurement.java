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

/** One loss of the state store's data, and what it took until work was placed again. */
final class RecoveryMeasurement {
  /** Pieces of log lines of the controllers. */
  static final String LEADING = "; rebuilding ownership";

  private static final String LOSS_NOTICED = "has lost data";
  private static final String REBUILT = "is whole";
  private static final String SERVING = "serving incarnation";

  private static final Duration TIMEOUT = Duration.ofSeconds(90);
  private static final Duration SAMPLE_INTERVAL = Duration.ofMillis(50);
  private static final int SAMPLES_PER_S = (int) (1000 / SAMPLE_INTERVAL.toMillis());

  private final LoopbackCluster cluster;
  private final LoopbackFleet fleet;
  private final List<ControllerProcess> controllers;
  private final ControllerLogs logs;
  private final JsonNode snapshotStatus;
  private final double memoryBefore;
  private final FleetFaults faultsBefore;
  private final int runningBefore;
  private final int startedBefore;
  private final StateStoreLoad loadBefore;
  private final List<StateStoreLoad> samples = new ArrayList<>();
  private long lostAt;
  private long firstStartAt = -1;

  /** What should not happen to a fleet, counted since it was started. */
  private record FleetFaults(long expiredLeases, int startedTwice, int endedLate) {
    static FleetFaults of(LoopbackFleet fleet) {
      return new FleetFaults(
          fleet.expiredLeases(), fleet.tasksStartedTwice().size(), fleet.tasksEndedLate().size());
    }
  }

  /**
   * Notes how things stand before the loss.
   *
   * @param controllers the processes that live, the first of which was started first
   * @param snapshotStatus what a node tells operators of its last snapshot
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
    this.memoryBefore = peakMemoryMib();
    this.faultsBefore = FleetFaults.of(fleet);
    this.loadBefore = cluster.stateStoreLoad();
    this.startedBefore = fleet.startedTaskCount();
  }

  /** The process whose log says that it leads; valid while no other has led. */
  private ControllerProcess leader() {
    return controllers.stream()
        .filter(controller -> controller.firstLogLineAt(LEADING, 0) >= 0)
        .findFirst()
        .orElseThrow();
  }

  /** Loses the data, and maybe the leader, and waits until a leader has started a task again. */
  void run(boolean leaderEnds) throws InterruptedException {
    ControllerProcess leader = leader();
    lostAt = System.nanoTime();
    cluster.loseStateStoreData();
    if (leaderEnds) {
      leader.kill();
      controllers.remove(leader);
    }
    long end = lostAt + TIMEOUT.toNanos();
    while (System.nanoTime() < end && (!isLedAgain() || firstStartAt < 0)) {
      Thread.sleep(SAMPLE_INTERVAL.toMillis());
      samples.add(cluster.stateStoreLoad());
      if (firstStartAt < 0 && fleet.startedTaskCount() > startedBefore) {
        firstStartAt = System.nanoTime();
      }
      if (isLedAgain() && firstStartAt < 0) {
        // So that the next leader has something to start.
        fleet.completeTasks(1);
      }
    }
  }

  private boolean isLedAgain() {
    return logs.firstAt(LEADING, lostAt) >= 0;
  }

  /** Prints the figures as rows of a Markdown table. */
  void print(int endedJobs) throws IOException {
    StateStoreLoad load = cluster.stateStoreLoad();
    row("machines, running tasks, ended jobs", cluster.machineCount(), runningBefore, endedJobs);
    row(
        "noticed by the first and the last node, ms",
        millis(logs.firstAt(LOSS_NOTICED, lostAt)),
        millis(logs.lastAt(LOSS_NOTICED, lostAt)));
    row("rebuilt, ms", millis(logs.firstAt(REBUILT, lostAt)));
    row("served again, ms", millis(logs.firstAt(SERVING, lostAt)));
    row("led again, ms", millis(logs.firstAt(LEADING, lostAt)));
    row("first order, ms", millis(firstStartAt));
    row(
        "requests, changes meanwhile",
        load.requests() - loadBefore.requests(),
        load.changes() - loadBefore.changes());
    row(
        "most requests, changes in a second",
        mostInASecond(StateStoreLoad::requests),
        mostInASecond(StateStoreLoad::changes));
    row("most memory of a controller before, after, MiB", memoryBefore, peakMemoryMib());
    row(
        "snapshot: bytes, ms",
        snapshotStatus.path("bytes").asDouble(),
        snapshotStatus.path("took_ms").asDouble());
    FleetFaults faults = FleetFaults.of(fleet);
    row(
        "before the loss: leases lost, tasks on two machines, ended late by the stand-ins",
        faultsBefore.expiredLeases,
        faultsBefore.startedTwice,
        faultsBefore.endedLate);
    row(
        "since the loss, the same",
        faults.expiredLeases - faultsBefore.expiredLeases,
        faults.startedTwice - faultsBefore.startedTwice,
        faults.endedLate - faultsBefore.endedLate);
  }

  private double millis(long at) {
    return at < 0 ? Double.NaN : (at - lostAt) / 1e6;
  }

  private double mostInASecond(ToLongFunction<StateStoreLoad> count) {
    long most = 0;
    for (int i = SAMPLES_PER_S; i < samples.size(); i++) {
      long earlier = count.applyAsLong(samples.get(i - SAMPLES_PER_S));
      most = Math.max(most, count.applyAsLong(samples.get(i)) - earlier);
    }
    return most;
  }

  private double peakMemoryMib() throws IOException {
    double most = 0;
    for (ControllerProcess controller : controllers) {
      most = Math.max(most, controller.statusMib("VmHWM"));
    }
    return most;
  }

  private static void row(String name, double... figures) {
    StringBuilder line = new StringBuilder("| ").append(name).append(" |");
    for (double figure : figures) {
      line.append(String.format(" %.0f", figure));
    }
    System.out.println(line.append(" |"));
  }
}
