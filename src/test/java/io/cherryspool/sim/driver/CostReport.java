package io.cherryspool.sim.driver;

import io.cherryspool.sim.loopback.ControllerProcess;
import io.cherryspool.sim.loopback.ThreadCpuTimes;
import java.util.ArrayList;
import java.util.List;
import java.util.function.ToDoubleFunction;

/** Turns what was measured in windows of time into tables of costs. */
final class CostReport {
  private static final int LEADER = 0;
  private static final int ASKED = 1;
  private static final int OTHER = 2;

  private final List<Window> windows = new ArrayList<>();
  private final MarkdownTable starts =
      new MarkdownTable(
          "start, processor ms", "event loop", "compiler", "main", "VM and others", "all", "wall");

  /** How the figures of a window are read. */
  enum Kind {
    /** Nothing but what always goes on; the other windows are compared with these. */
    IDLE,
    /** Printed as it is, by the second. */
    WHOLE,
    /** Something happened a known number of times. */
    EVENTS,
    /** Workers reported without being due, with no news. */
    UNCHANGED_REPORTS,
    /** Workers reported without being due, each with news. */
    CHANGED_REPORTS
  }

  /** What happened in a window of time, and what each node used meanwhile. */
  record Window(
      String name,
      Kind kind,
      int events,
      double seconds,
      long heartbeats,
      List<ThreadCpuTimes> used) {}

  void add(Window window) {
    windows.add(window);
  }

  /** A controller that starts has got so far. */
  void started(String name, ControllerProcess.Reached reached) {
    ThreadCpuTimes used = reached.used();
    starts.row(
        name,
        used.millis(ThreadCpuTimes.Group.LOOP),
        used.millis(ThreadCpuTimes.Group.COMPILER),
        used.millis(ThreadCpuTimes.Group.MAIN),
        used.millis(ThreadCpuTimes.Group.OTHER),
        used.millis(),
        reached.wallMillis());
  }

  @Override
  public String toString() {
    return starts + "\n\n" + bySecond() + "\n\n" + byEvent();
  }

  private MarkdownTable bySecond() {
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
      if (window.kind == Kind.IDLE || window.kind == Kind.WHOLE) {
        ThreadCpuTimes leader = window.used.get(LEADER);
        table.row(
            window.name,
            window.seconds,
            window.heartbeats / window.seconds,
            leader.millis(ThreadCpuTimes.Group.LOOP) / window.seconds,
            leader.millis(ThreadCpuTimes.Group.COMPILER) / window.seconds,
            leader.millis(ThreadCpuTimes.Group.OTHER) / window.seconds,
            leader.millis() / window.seconds,
            window.used.get(ASKED).millis() / window.seconds,
            window.used.get(OTHER).millis() / window.seconds);
      }
    }
    return table;
  }

  private MarkdownTable byEvent() {
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
      if (window.kind != Kind.IDLE && window.kind != Kind.WHOLE) {
        table.row(
            window.name,
            events(window),
            reportsBeyondIdle(window) / events(window),
            each(window, LEADER, used -> used.millis(ThreadCpuTimes.Group.LOOP)),
            each(window, LEADER, used -> used.millis(ThreadCpuTimes.Group.COMPILER)),
            each(window, LEADER, used -> used.millis(ThreadCpuTimes.Group.OTHER)),
            each(window, LEADER, ThreadCpuTimes::millis),
            each(window, ASKED, ThreadCpuTimes::millis),
            each(window, OTHER, ThreadCpuTimes::millis));
      }
    }
    return table;
  }

  /** A worker that sends a heartbeat without being due puts its next one off. */
  private double events(Window window) {
    return window.kind == Kind.UNCHANGED_REPORTS ? reportsBeyondIdle(window) : window.events;
  }

  private double each(Window window, int node, ToDoubleFunction<ThreadCpuTimes> part) {
    double cost = beyondIdle(window, node, part);
    if (window.kind == Kind.CHANGED_REPORTS) {
      cost -= reportsBeyondIdle(window) * unchangedReport(node, part);
    }
    return cost / events(window);
  }

  private double unchangedReport(int node, ToDoubleFunction<ThreadCpuTimes> part) {
    return windows.stream()
        .filter(window -> window.kind == Kind.UNCHANGED_REPORTS)
        .mapToDouble(window -> each(window, node, part))
        .average()
        .orElseThrow();
  }

  private double reportsBeyondIdle(Window window) {
    return window.heartbeats - whenIdle(Window::heartbeats) * window.seconds;
  }

  private double beyondIdle(Window window, int node, ToDoubleFunction<ThreadCpuTimes> part) {
    double usual = whenIdle(item -> part.applyAsDouble(item.used.get(node)));
    return part.applyAsDouble(window.used.get(node)) - usual * window.seconds;
  }

  /** The figure for a second in which nothing happens. */
  private double whenIdle(ToDoubleFunction<Window> figure) {
    return windows.stream()
        .filter(window -> window.kind == Kind.IDLE)
        .mapToDouble(window -> figure.applyAsDouble(window) / window.seconds)
        .average()
        .orElseThrow();
  }
}
