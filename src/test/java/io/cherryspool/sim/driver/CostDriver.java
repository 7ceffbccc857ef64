package io.cherryspool.sim.driver;

import io.cherryspool.http.Reply;
import io.cherryspool.http.Request;
import io.cherryspool.model.Job;
import io.cherryspool.model.Outcome;
import io.cherryspool.sim.driver.CostReport.WindowKind;
import io.cherryspool.sim.fakes.FakeWorker;
import io.cherryspool.sim.loopback.ControllerProcess;
import io.cherryspool.sim.loopback.LoopbackCluster;
import io.cherryspool.sim.loopback.LoopbackNodes;
import io.cherryspool.store.Records;
import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * Measures what the processor time and the memory of a controller are used for. Three controllers
 * run in separate processes, started by the command of deploy/service.toml, with fake services and
 * workers. The processor time of each thread is read from the kernel before and after each phase.
 * The processes are not throttled. The figures are printed as Markdown; docs/operations.md
 * describes how to run the program.
 */
public final class CostDriver {
  private static final Path WORK_DIRECTORY = Path.of("target", "costs");
  private static final String QUERIED_NODE = LoopbackNodes.name(1);
  private static final int CONTROLLERS = LoopbackNodes.ZONES.size();
  private static final LoopbackNodes.Limits LIMITS = new LoopbackNodes.Limits(400, 160, 2048, 0);

  private static final Duration BOOT_PHASE = Duration.ofSeconds(30);
  private static final Duration IDLE_PHASE = Duration.ofSeconds(8);

  /**
   * How long to wait until the effects of a new fencing token are over. The token reaches all
   * workers within one heartbeat interval, and each worker then sends one more heartbeat.
   */
  private static final Duration SETTLE_TIME = LoopbackCluster.HEARTBEAT_INTERVAL.plusMillis(500);

  /**
   * How long to wait until delayed writes are done. If nothing waits for a write, a leader delays
   * it by 4 s to combine it with other changes.
   */
  private static final Duration LATE_WRITE_TIME = Duration.ofSeconds(5);

  private static final Duration PLACING_TIMEOUT = Duration.ofSeconds(25);

  private static final Duration PLACING_CHECK_INTERVAL = Duration.ofMillis(500);

  private static final int TASKS_PER_MACHINE = 2;
  private static final int UNCHANGED_HEARTBEATS = 6000;
  private static final int CHANGED_HEARTBEATS = 1200;
  private static final double HEARTBEATS_PER_S = 1000;
  private static final double CHANGED_HEARTBEATS_PER_S = 200;
  private static final int REDIRECTS = 600;
  private static final int POLLS = 600;
  private static final double REQUESTS_PER_S = 150;
  private static final int RECORD_CHANGES = 300;
  private static final double RECORD_CHANGES_PER_S = 60;
  private static final int JOBS = 100;
  private static final double JOBS_PER_S = 20;

  private static final int[] ARRAY_SIZES = {10, 100, 1000};

  private final boolean measuresMemory;
  private final LoopbackCluster cluster;
  private final int machineCount;
  private final List<ControllerProcess> controllers = new ArrayList<>();
  private final CostReport report = new CostReport();
  private final CostMeter meter;
  private final LoadGenerator loadGenerator;
  private int jobCount;

  private CostDriver(int machineCount, boolean measuresMemory) {
    this.machineCount = machineCount;
    this.measuresMemory = measuresMemory;
    this.cluster = new LoopbackCluster(77, CONTROLLERS, machineCount, LIMITS);
    this.meter = new CostMeter(controllers, cluster.fleet(), report);
    this.loadGenerator = new LoadGenerator(cluster, meter, QUERIED_NODE, SETTLE_TIME);
  }

  /**
   * Runs the measurement. The arguments are the number of machines and, to measure memory instead
   * of time, {@code memory}.
   */
  public static void main(String[] args) throws Exception {
    boolean measuresMemory = args.length == 2 && args[1].equals("memory");
    if (args.length != 1 && !measuresMemory) {
      System.err.println("usage: CostDriver MACHINES [memory]");
      System.exit(2);
    }
    CostDriver driver = new CostDriver(Integer.parseInt(args[0]), measuresMemory);
    try {
      driver.run();
    } finally {
      for (ControllerProcess controller : driver.controllers) {
        controller.stop();
      }
    }
    System.exit(0);
  }

  private void run() throws IOException, InterruptedException {
    cluster.startServers();
    startControllers();
    meter.measure("idle, no machines, first seconds", WindowKind.PER_SECOND, 0, this::pauseIdle);
    meter.measure(
        "workers begin to send heartbeats, 30 s", WindowKind.PER_SECOND, 0, this::bootWorkers);
    measureArray(TASKS_PER_MACHINE * machineCount);
    meter.pause(LATE_WRITE_TIME);
    if (measuresMemory) {
      measureArrays();
      System.out.println(new MemoryReport(controllers));
    } else {
      measureCpuTime();
      System.out.println(report);
    }
    System.out.println(
        "\nLeases lost by workers during the run: " + cluster.fleet().expiredLeaseCount());
    if (controllers.get(0).hasLostLeadership()) {
      System.out.println("The leader changed during the run, so the figures above are not valid.");
    }
  }

  private void measureCpuTime() throws InterruptedException {
    meter.measure("idle, all machines send heartbeats", WindowKind.IDLE, 0, this::pauseIdle);
    measureHeartbeats();
    measurePollsAndProgressWrites();
    measureJobs();
    meter.pause(LATE_WRITE_TIME);
    measureArrays();
    meter.pause(LATE_WRITE_TIME);
    meter.measure(
        "idle, all machines send heartbeats, at the end", WindowKind.IDLE, 0, this::pauseIdle);
  }

  private void startControllers() throws IOException, InterruptedException {
    ServiceFolder folder = ServiceFolder.create(WORK_DIRECTORY, "<idle-keep>86400</idle-keep>");
    List<String> options =
        measuresMemory
            ? List.of("-XX:NativeMemoryTracking=summary", "-XX:+UsePerfData")
            : List.of();
    for (int i = 0; i < CONTROLLERS; i++) {
      ControllerProcess controller = folder.start(cluster.nodes(), i, options);
      controllers.add(controller);
      report.addMilestone(LoopbackNodes.name(i) + " listens", controller.awaitListening());
      if (i == 0) {
        report.addMilestone(LoopbackNodes.name(i) + " leads", controller.awaitLeading());
      }
    }
  }

  private void pauseIdle() throws InterruptedException {
    meter.pause(IDLE_PHASE);
  }

  private void bootWorkers() throws InterruptedException {
    cluster.bootWorkers();
    meter.pause(BOOT_PHASE);
  }

  private void measureHeartbeats() throws InterruptedException {
    meter.measure(
        "unchanged heartbeat",
        WindowKind.UNCHANGED_HEARTBEATS,
        UNCHANGED_HEARTBEATS,
        () -> loadGenerator.runAtRate(UNCHANGED_HEARTBEATS, HEARTBEATS_PER_S, this::sendUnchanged));
    meter.measure(
        "changed heartbeat, beyond an unchanged one",
        WindowKind.CHANGED_HEARTBEATS,
        CHANGED_HEARTBEATS,
        () ->
            loadGenerator.runAtRate(
                CHANGED_HEARTBEATS, CHANGED_HEARTBEATS_PER_S, this::sendChanged));
    meter.measure(
        "heartbeat redirected by " + QUERIED_NODE,
        WindowKind.PER_EVENT,
        REDIRECTS,
        () -> loadGenerator.runAtRate(REDIRECTS, REQUESTS_PER_S, this::sendToFollower));
  }

  private CompletableFuture<Reply> sendUnchanged(int number) {
    cluster.fleet().worker(number).sendHeartbeatNow();
    return null;
  }

  private CompletableFuture<Reply> sendChanged(int number) {
    FakeWorker worker = cluster.fleet().worker(number);
    worker.pretendCheckpointing(number / machineCount % 2 == 0);
    worker.sendHeartbeatNow();
    return null;
  }

  private CompletableFuture<Reply> sendToFollower(int number) {
    byte[] heartbeat = cluster.fleet().worker(number % 8).heartbeatBody();
    return cluster.send(QUERIED_NODE, Request.post("/v1/report", heartbeat));
  }

  private void measurePollsAndProgressWrites() throws InterruptedException {
    int lastJobNumber = jobCount;
    meter.measure(
        "poll of " + QUERIED_NODE,
        WindowKind.PER_EVENT,
        POLLS,
        () ->
            loadGenerator.runAtRate(POLLS, REQUESTS_PER_S, i -> loadGenerator.poll(lastJobNumber)));
    int number = ++jobCount;
    String id = LoadGenerator.jobId(number);
    Job unplaceable = LoadGenerator.job(id, RECORD_CHANGES + 1, List.of("none"));
    loadGenerator.writeRecord(
        Records.jobKey(id), Records.encodeJob(unplaceable, RECORD_CHANGES + 1));
    meter.pause(SETTLE_TIME);
    meter.measure(
        "progress record changed",
        WindowKind.PER_EVENT,
        RECORD_CHANGES,
        () ->
            loadGenerator.runAtRate(
                RECORD_CHANGES, RECORD_CHANGES_PER_S, i -> loadGenerator.writeProgress(number, i)));
    loadGenerator.writeRecord(Records.outcomeKey(id), Records.encodeOutcome(Outcome.CANCELLED));
    meter.pause(SETTLE_TIME);
  }

  private void measureJobs() throws InterruptedException {
    int firstJobNumber = jobCount + 1;
    jobCount += JOBS;
    meter.measure(
        "job of one task submitted to " + QUERIED_NODE + ", and started",
        WindowKind.PER_EVENT,
        JOBS,
        () ->
            loadGenerator.runAtRate(
                JOBS, JOBS_PER_S, i -> loadGenerator.submit(firstJobNumber + i, 1)));
    meter.measure(
        "job cancelled at " + QUERIED_NODE + ", and its task stopped",
        WindowKind.PER_EVENT,
        JOBS,
        () ->
            loadGenerator.runAtRate(
                JOBS, JOBS_PER_S, i -> loadGenerator.cancel(firstJobNumber + i)));
  }

  /**
   * Measures arrays of several sizes. Cancels each array but the last after its measurement, so
   * that the machines have room for the next one.
   */
  private void measureArrays() throws InterruptedException {
    for (int i = 0; i < ARRAY_SIZES.length; i++) {
      measureArray(ARRAY_SIZES[i]);
      int number = jobCount;
      if (i < ARRAY_SIZES.length - 1) {
        cluster.loop().execute(() -> loadGenerator.cancel(number));
        meter.pause(LATE_WRITE_TIME);
      }
    }
  }

  private void measureArray(int tasks) throws InterruptedException {
    meter.measure(
        "array of " + tasks + " tasks starts",
        WindowKind.PER_EVENT,
        tasks,
        () -> startArray(tasks));
  }

  /** Submits an array and waits until all its tasks have started. */
  private void startArray(int tasks) throws InterruptedException {
    int startedBefore = cluster.fleet().startedTaskCount();
    int number = ++jobCount;
    cluster.loop().execute(() -> loadGenerator.submit(number, tasks));
    long end = System.nanoTime() + PLACING_TIMEOUT.toNanos();
    while (startedSince(startedBefore) < tasks && System.nanoTime() < end) {
      meter.pause(PLACING_CHECK_INTERVAL);
    }
    meter.pause(SETTLE_TIME);
    int missing = tasks - startedSince(startedBefore);
    if (missing > 0) {
      System.out.println(missing + " of " + tasks + " tasks were not started in time");
    }
  }

  private int startedSince(int startedBefore) {
    return cluster.fleet().startedTaskCount() - startedBefore;
  }
}
