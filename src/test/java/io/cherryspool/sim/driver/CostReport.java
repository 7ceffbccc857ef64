package io.cherryspool.sim.driver;

import io.cherryspool.sim.loopback.ControllerProcess;
import io.cherryspool.sim.loopback.ThreadCpuTimes;
import java.util.ArrayList;
import java.util.List;
import java.util.function.ToDoubleFunction;

/** Computes tables of costs from the measurements in windows of time. */
final class CostReport {
  private static final int LEADER = 0;
  private static final int QUERIED = 1;
  private static final int OTHER_FOLLOWER = 2;

  private final List<Window> windows = new ArrayList<>();
  private final MarkdownTable startTable =
      new MarkdownTable(
          "start, processor ms", "event loop", "compiler", "main", "VM and others", "all", "wall");

  /** How the report evaluates a window. */
  enum WindowKind {
    /**
     * Only periodic work happened. Its costs are subtracted when the costs per event are computed.
     */
    IDLE,
    /** The costs are reported per second, including those of periodic work. */
    PER_SECOND,
    /** A known number of events happened, and the costs are reported per event. */
    PER_EVENT,
    /** Workers sent heartbeats before they were due, without changes. */
    UNCHANGED_HEARTBEATS,
    /** Workers sent heartbeats before they were due, each with a change. */
    CHANGED_HEARTBEATS
  }

  /** What happened in a window of time, and the processor time that each node used in it. */
  record Window(
      String name,
      WindowKind kind,
      int events,
      double seconds,
      long heartbeats,
      List<ThreadCpuTimes> cpuTimes) {}

  void add(Window window) {
    windows.add(window);
  }

  /** Adds a milestone in the start of a controller. */
  void addMilestone(String name, ControllerProcess.Milestone milestone) {
    ThreadCpuTimes cpuTimes = milestone.cpuTimes();
    startTable.addRow(
        name,
        cpuTimes.millis(ThreadCpuTimes.Group.LOOP),
        cpuTimes.millis(ThreadCpuTimes.Group.COMPILER),
        cpuTimes.millis(ThreadCpuTimes.Group.MAIN),
        cpuTimes.millis(ThreadCpuTimes.Group.OTHER),
        cpuTimes.millis(),
        milestone.wallMillis());
  }

  @Override
  public String toString() {
    return startTable + "\n\n" + costsPerSecond() + "\n\n" + costsPerEvent();
  }

  private MarkdownTable costsPerSecond() {
    MarkdownTable table =
        new MarkdownTable(
            "processor ms a second",
            "s",
            "heartbeats a second",
            "leader: event loop",
            "compiler",
            "VM and others",
            "all",
            "follower asked",
            "other follower");
    for (Window window : windows) {
      if (window.kind == WindowKind.IDLE || window.kind == WindowKind.PER_SECOND) {
        ThreadCpuTimes leader = window.cpuTimes.get(LEADER);
        table.addRow(
            window.name,
            window.seconds,
            window.heartbeats / window.seconds,
            leader.millis(ThreadCpuTimes.Group.LOOP) / window.seconds,
            leader.millis(ThreadCpuTimes.Group.COMPILER) / window.seconds,
            leader.millis(ThreadCpuTimes.Group.OTHER) / window.seconds,
            leader.millis() / window.seconds,
            window.cpuTimes.get(QUERIED).millis() / window.seconds,
            window.cpuTimes.get(OTHER_FOLLOWER).millis() / window.seconds);
      }
    }
    return table;
  }

  private MarkdownTable costsPerEvent() {
    MarkdownTable table =
        new MarkdownTable(
            "processor ms each, beyond idling",
            "events",
            "heartbeats",
            "leader: event loop",
            "compiler",
            "VM and others",
            "all",
            "follower asked",
            "other follower");
    for (Window window : windows) {
      if (window.kind != WindowKind.IDLE && window.kind != WindowKind.PER_SECOND) {
        table.addRow(
            window.name,
            events(window),
            heartbeatsBeyondIdle(window) / events(window),
            costPerEvent(window, LEADER, cpuTimes -> cpuTimes.millis(ThreadCpuTimes.Group.LOOP)),
            costPerEvent(
                window, LEADER, cpuTimes -> cpuTimes.millis(ThreadCpuTimes.Group.COMPILER)),
            costPerEvent(window, LEADER, cpuTimes -> cpuTimes.millis(ThreadCpuTimes.Group.OTHER)),
            costPerEvent(window, LEADER, ThreadCpuTimes::millis),
            costPerEvent(window, QUERIED, ThreadCpuTimes::millis),
            costPerEvent(window, OTHER_FOLLOWER, ThreadCpuTimes::millis));
      }
    }
    return table;
  }

  /**
   * Returns the number of events. The number of unchanged heartbeats is the number of all
   * heartbeats in the window minus the usual number of periodic ones, since a worker that sends a
   * heartbeat early sends its next periodic one later.
   */
  private double events(Window window) {
    return window.kind == WindowKind.UNCHANGED_HEARTBEATS
        ? heartbeatsBeyondIdle(window)
        : window.events;
  }

  private double costPerEvent(Window window, int node, ToDoubleFunction<ThreadCpuTimes> toMillis) {
    double cost = costBeyondIdle(window, node, toMillis);
    if (window.kind == WindowKind.CHANGED_HEARTBEATS) {
      cost -= heartbeatsBeyondIdle(window) * costPerUnchangedHeartbeat(node, toMillis);
    }
    return cost / events(window);
  }

  private double costPerUnchangedHeartbeat(int node, ToDoubleFunction<ThreadCpuTimes> toMillis) {
    return windows.stream()
        .filter(window -> window.kind == WindowKind.UNCHANGED_HEARTBEATS)
        .mapToDouble(window -> costPerEvent(window, node, toMillis))
        .average()
        .orElseThrow();
  }

  private double heartbeatsBeyondIdle(Window window) {
    return window.heartbeats - idleRate(Window::heartbeats) * window.seconds;
  }

  private double costBeyondIdle(
      Window window, int node, ToDoubleFunction<ThreadCpuTimes> toMillis) {
    double idleCostPerSecond = idleRate(item -> toMillis.applyAsDouble(item.cpuTimes.get(node)));
    return toMillis.applyAsDouble(window.cpuTimes.get(node)) - idleCostPerSecond * window.seconds;
  }

  /** Returns the average of a figure per second over the idle windows. */
  private double idleRate(ToDoubleFunction<Window> figure) {
    return windows.stream()
        .filter(window -> window.kind == WindowKind.IDLE)
        .mapToDouble(window -> figure.applyAsDouble(window) / window.seconds)
        .average()
        .orElseThrow();
  }
}
