package io.cherryspool.sim.driver;

import io.cherryspool.sim.loopback.ControllerProcess;
import io.cherryspool.sim.loopback.LoopbackFleet;
import io.cherryspool.sim.loopback.ThreadCpuTimes;
import java.time.Duration;
import java.util.List;
import java.util.stream.IntStream;

/** Measures the processor time that controllers use in phases, and adds it to a report. */
final class CostMeter {
  private static final Duration SAMPLE_INTERVAL = Duration.ofMillis(500);

  private final List<ControllerProcess> controllers;
  private final LoopbackFleet fleet;
  private final CostReport report;

  /** What is done in a phase. */
  @FunctionalInterface
  interface Step {
    void run() throws InterruptedException;
  }

  /**
   * Creates the cost meter.
   *
   * @param controllers the processes, the leader first
   */
  CostMeter(List<ControllerProcess> controllers, LoopbackFleet fleet, CostReport report) {
    this.controllers = controllers;
    this.fleet = fleet;
    this.report = report;
  }

  /** Does the step, in which so many events happen, and adds what it cost to the report. */
  void measure(String name, CostReport.Kind kind, int events, Step step)
      throws InterruptedException {
    System.err.println("measuring: " + name);
    List<ThreadCpuTimes> before = used();
    long heartbeats = fleet.heartbeatCount();
    long start = System.nanoTime();
    step.run();
    double seconds = (System.nanoTime() - start) / 1e9;
    List<ThreadCpuTimes> after = used();
    List<ThreadCpuTimes> used =
        IntStream.range(0, after.size()).mapToObj(i -> after.get(i).minus(before.get(i))).toList();
    long sent = fleet.heartbeatCount() - heartbeats;
    report.add(new CostReport.Window(name, kind, events, seconds, sent, used));
  }

  /** Waits, and samples meanwhile, so that the time of threads that end is not lost. */
  void pause(Duration length) throws InterruptedException {
    long end = System.nanoTime() + length.toNanos();
    while (System.nanoTime() < end) {
      Thread.sleep(SAMPLE_INTERVAL.toMillis());
      used();
    }
  }

  private List<ThreadCpuTimes> used() {
    return controllers.stream().map(ControllerProcess::used).toList();
  }
}
