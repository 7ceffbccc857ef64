package io.cherryspool.sim.driver;

import io.cherryspool.sim.loopback.ControllerProcess;
import io.cherryspool.sim.loopback.LoopbackFleet;
import io.cherryspool.sim.loopback.ThreadCpuTimes;
import java.time.Duration;
import java.util.List;
import java.util.stream.IntStream;

/** Measures the processor time that controllers use in each phase, and adds it to a report. */
final class CostMeter {
  private static final Duration SAMPLE_INTERVAL = Duration.ofMillis(500);

  private final List<ControllerProcess> controllers;
  private final LoopbackFleet fleet;
  private final CostReport report;

  /** A phase of a measurement. */
  @FunctionalInterface
  interface Phase {
    void run() throws InterruptedException;
  }

  /**
   * Creates the cost meter.
   *
   * @param controllers the processes; the leader is the first
   */
  CostMeter(List<ControllerProcess> controllers, LoopbackFleet fleet, CostReport report) {
    this.controllers = controllers;
    this.fleet = fleet;
    this.report = report;
  }

  /** Runs a phase with the given number of events, and adds its costs to the report. */
  void measure(String name, CostReport.WindowKind kind, int events, Phase phase)
      throws InterruptedException {
    System.err.println("measuring: " + name);
    List<ThreadCpuTimes> cpuTimesBefore = cpuTimes();
    long heartbeatsBefore = fleet.heartbeatCount();
    long start = System.nanoTime();
    phase.run();
    double seconds = (System.nanoTime() - start) / 1e9;
    List<ThreadCpuTimes> cpuTimesAfter = cpuTimes();
    List<ThreadCpuTimes> cpuTimesUsed =
        IntStream.range(0, cpuTimesAfter.size())
            .mapToObj(i -> cpuTimesAfter.get(i).minus(cpuTimesBefore.get(i)))
            .toList();
    long heartbeatsSent = fleet.heartbeatCount() - heartbeatsBefore;
    report.add(new CostReport.Window(name, kind, events, seconds, heartbeatsSent, cpuTimesUsed));
  }

  /** Waits, and samples the processor time meanwhile, so that the time of ended threads counts. */
  void pause(Duration length) throws InterruptedException {
    long end = System.nanoTime() + length.toNanos();
    while (System.nanoTime() < end) {
      Thread.sleep(SAMPLE_INTERVAL.toMillis());
      cpuTimes();
    }
  }

  private List<ThreadCpuTimes> cpuTimes() {
    return controllers.stream().map(ControllerProcess::cpuTimes).toList();
  }
}
