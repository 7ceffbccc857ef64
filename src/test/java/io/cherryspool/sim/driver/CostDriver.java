package io.cherryspool.sim.driver;

import com.fasterxml.jackson.databind.JsonNode;
import io.cherryspool.http.Reply;
import io.cherryspool.http.Request;
import io.cherryspool.model.Job;
import io.cherryspool.model.Outcome;
import io.cherryspool.model.Priority;
import io.cherryspool.model.Resources;
import io.cherryspool.model.Shard;
import io.cherryspool.sim.driver.CostReport.Kind;
import io.cherryspool.sim.loopback.ControllerProcess;
import io.cherryspool.sim.loopback.LoopbackCluster;
import io.cherryspool.sim.loopback.LoopbackNodes;
import io.cherryspool.sim.loopback.ThreadCpuTimes;
import io.cherryspool.store.Records;
import io.cherryspool.wire.Json;
import io.cherryspool.wire.StateStoreProtocol;
import io.cherryspool.wire.UserProtocol;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import java.util.function.IntFunction;
import java.util.stream.IntStream;

/**
 * Measures where the processor time and the memory of a controller go. Three controllers run as
 * processes of their own, by the command of deploy/service.toml, among stand-ins; the kernel's
 * count of each thread's time is read before and after each phase. Nothing is throttled. The
 * figures are written to standard output as Markdown; docs/operations.md tells how to run it.
 */
public final class CostDriver {
  private static final Path WORK = Path.of("target", "costs");
  private static final String ASKED = LoopbackNodes.name(1);
  private static final int CONTROLLERS = LoopbackNodes.ZONES.size();
  private static final LoopbackNodes.Limits LIMITS = new LoopbackNodes.Limits(400, 160, 2048, 0);

  private static final Duration SAMPLE = Duration.ofMillis(500);
  private static final Duration COLD = Duration.ofSeconds(30);
  private static final Duration IDLE = Duration.ofSeconds(8);

  /** A new token reaches all workers within a report's time, and each then reports once more. */
  private static final Duration SETTLE = LoopbackCluster.HEARTBEAT_INTERVAL.plusMillis(500);

  /** A leader puts off writes that nothing waits for by 4 s. */
  private static final Duration LATE_WRITES = Duration.ofSeconds(5);

  private static final Duration PLACING_LIMIT = Duration.ofSeconds(25);

  private static final int TASKS_PER_MACHINE = 2;
  private static final int UNCHANGED_REPORTS = 6000;
  private static final int CHANGED_REPORTS = 1200;
  private static final double REPORTS_PER_S = 1000;
  private static final double CHANGED_PER_S = 200;
  private static final int REDIRECTS = 600;
  private static final int POLLS = 600;
  private static final double REQUESTS_PER_S = 150;
  private static final int EVENTS = 300;
  private static final double EVENTS_PER_S = 60;
  private static final int JOBS = 100;
  private static final double JOBS_PER_S = 20;

  private static final int[] ARRAYS = {10, 100, 1000};

  private final boolean memory;
  private final LoopbackCluster cluster;
  private final int machines;
  private final List<ControllerProcess> controllers = new ArrayList<>();
  private final CostReport report = new CostReport();
  private int jobCount;

  /** A step of a phase. */
  @FunctionalInterface
  private interface Step {
    void run() throws InterruptedException;
  }

  private CostDriver(int machines, boolean memory) {
    this.machines = machines;
    this.memory = memory;
    this.cluster = new LoopbackCluster(77, CONTROLLERS, machines, LIMITS);
  }

  /** Takes the number of machines, and {@code memory} to measure that instead of time. */
  public static void main(String[] args) throws Exception {
    boolean memory = args.length == 2 && args[1].equals("memory");
    if (args.length != 1 && !memory) {
      System.err.println("usage: CostDriver MACHINES [memory]");
      System.exit(2);
    }
    CostDriver driver = new CostDriver(Integer.parseInt(args[0]), memory);
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
    cluster.listen();
    prepareFolder();
    startControllers();
    phase("idle, no machines, first seconds", Kind.WHOLE, 0, () -> pause(IDLE));
    phase("workers begin to report, 30 s", Kind.WHOLE, 0, this::beginReporting);
    int load = TASKS_PER_MACHINE * machines;
    phase("array of " + load + " tasks starts", Kind.EVENTS, load, () -> place(load));
    pause(LATE_WRITES);
    if (!memory) {
      phase("idle, all machines report", Kind.IDLE, 0, () -> pause(IDLE));
      measureReports();
      measureReading();
      measureJobs();
      pause(LATE_WRITES);
    }
    measureArrays();
    if (memory) {
      System.out.println(new MemoryReport(controllers));
    } else {
      pause(LATE_WRITES);
      phase("idle, all machines report, at the end", Kind.IDLE, 0, () -> pause(IDLE));
      System.out.println(report);
    }
    System.out.println("\nLeases lost by workers meanwhile: " + cluster.expiredLeases());
    if (controllers.get(0).leadershipLost()) {
      System.out.println("The leader changed meanwhile, so that no figure above counts.");
    }
  }

  /** A folder that looks to a controller like the repository, but keeps idle machines. */
  private static void prepareFolder() throws IOException {
    Files.createDirectories(WORK.resolve("deploy"));
    Path target = WORK.resolve("target");
    if (!Files.exists(target)) {
      Files.createSymbolicLink(target, Path.of("target").toAbsolutePath());
    }
    Files.writeString(
        WORK.resolve("deploy").resolve("cherryspool.xml"),
        "<cherryspool><idle-keep>86400</idle-keep></cherryspool>\n");
  }

  private void startControllers() throws IOException, InterruptedException {
    ServiceCommand service = ServiceCommand.read();
    List<String> options =
        memory ? List.of("-XX:NativeMemoryTracking=summary", "-XX:+UsePerfData") : List.of();
    for (int i = 0; i < CONTROLLERS; i++) {
      Path settings = cluster.nodes().write(WORK, i).toAbsolutePath();
      Path log = WORK.resolve(LoopbackNodes.name(i) + ".log");
      ControllerProcess controller =
          new ControllerProcess(service.with(options, settings), WORK, log);
      controllers.add(controller);
      report.started(LoopbackNodes.name(i) + " listens", controller.awaitListening());
      if (i == 0) {
        report.started(LoopbackNodes.name(i) + " leads", controller.awaitLeading());
      }
    }
  }

  private void phase(String name, Kind kind, int events, Step step) throws InterruptedException {
    System.err.println("measuring: " + name);
    List<ThreadCpuTimes> before = used();
    long reports = cluster.heartbeatCount();
    long start = System.nanoTime();
    step.run();
    double seconds = (System.nanoTime() - start) / 1e9;
    List<ThreadCpuTimes> after = used();
    List<ThreadCpuTimes> used =
        IntStream.range(0, after.size()).mapToObj(i -> after.get(i).minus(before.get(i))).toList();
    report.add(
        new CostReport.Window(
            name, kind, events, seconds, cluster.heartbeatCount() - reports, used));
  }

  private List<ThreadCpuTimes> used() {
    return controllers.stream().map(ControllerProcess::used).toList();
  }

  /** Threads that end are not lost from the sum if they are looked at now and then. */
  private void pause(Duration length) throws InterruptedException {
    long end = System.nanoTime() + length.toNanos();
    while (System.nanoTime() < end) {
      Thread.sleep(SAMPLE.toMillis());
      used();
    }
  }

  private void beginReporting() throws InterruptedException {
    cluster.bootWorkers();
    pause(COLD);
  }

  private void measureReports() throws InterruptedException {
    phase(
        "unchanged report",
        Kind.UNCHANGED_REPORTS,
        UNCHANGED_REPORTS,
        () ->
            paced(
                UNCHANGED_REPORTS,
                REPORTS_PER_S,
                i -> {
                  cluster.worker(i).sendHeartbeatNow();
                  return null;
                }));
    phase(
        "changed report, beyond an unchanged one",
        Kind.CHANGED_REPORTS,
        CHANGED_REPORTS,
        () ->
            paced(
                CHANGED_REPORTS,
                CHANGED_PER_S,
                i -> {
                  cluster.worker(i).setCheckpointing(i / machines % 2 == 0);
                  cluster.worker(i).sendHeartbeatNow();
                  return null;
                }));
    phase(
        "report redirected by " + ASKED,
        Kind.EVENTS,
        REDIRECTS,
        () ->
            paced(
                REDIRECTS,
                REQUESTS_PER_S,
                i ->
                    cluster.ask(
                        ASKED, Request.post("/v1/report", cluster.worker(i % 8).report()))));
  }

  private void measureReading() throws InterruptedException {
    String known = id(jobCount);
    phase(
        "poll of " + ASKED,
        Kind.EVENTS,
        POLLS,
        () ->
            paced(
                POLLS, REQUESTS_PER_S, i -> cluster.ask(ASKED, Request.get("/api/jobs/" + known))));
    String id = id(++jobCount);
    Job job = job(id, EVENTS + 1, List.of("none"));
    put(Records.jobKey(id), Records.encodeJob(job, EVENTS + 1));
    pause(SETTLE);
    phase(
        "progress record changed",
        Kind.EVENTS,
        EVENTS,
        () -> paced(EVENTS, EVENTS_PER_S, i -> progress(id, i)));
    put(Records.outcomeKey(id), Records.encodeOutcome(Outcome.CANCELLED));
    pause(SETTLE);
  }

  private CompletableFuture<Reply> progress(String id, int done) {
    Shard shard = Shard.EMPTY.edit().markDone(0, done).build();
    return cluster.commit(
        new StateStoreProtocol.Change(Records.progressKey(id, 0), Records.encodeShard(shard), 0));
  }

  private void put(String key, JsonNode value) {
    LoopbackCluster.await(cluster.commit(new StateStoreProtocol.Change(key, value, 0)));
  }

  private void measureJobs() throws InterruptedException {
    int first = jobCount + 1;
    jobCount += JOBS;
    phase(
        "job of one task submitted to " + ASKED + ", and started",
        Kind.EVENTS,
        JOBS,
        () -> paced(JOBS, JOBS_PER_S, i -> submit(first + i, 1)));
    phase(
        "job cancelled at " + ASKED + ", and its task stopped",
        Kind.EVENTS,
        JOBS,
        () -> paced(JOBS, JOBS_PER_S, i -> cancel(first + i)));
  }

  /** All arrays but the last are cancelled again, so that the machines have room. */
  private void measureArrays() throws InterruptedException {
    for (int i = 0; i < ARRAYS.length; i++) {
      int tasks = ARRAYS[i];
      phase("array of " + tasks + " tasks starts", Kind.EVENTS, tasks, () -> place(tasks));
      int number = jobCount;
      if (i < ARRAYS.length - 1) {
        cluster.loop().execute(() -> cancel(number));
        pause(LATE_WRITES);
      }
    }
  }

  /** Submits an array and waits until all of it runs. */
  private void place(int tasks) throws InterruptedException {
    int before = cluster.startedTasks();
    int number = ++jobCount;
    cluster.loop().execute(() -> submit(number, tasks));
    awaitAtMost(PLACING_LIMIT, () -> cluster.startedTasks() - before >= tasks);
    pause(SETTLE);
    int missing = tasks - (cluster.startedTasks() - before);
    if (missing > 0) {
      System.out.println(missing + " of " + tasks + " tasks were not started in time");
    }
  }

  private void awaitAtMost(Duration limit, BooleanSupplier condition) throws InterruptedException {
    long end = System.nanoTime() + limit.toNanos();
    while (!condition.getAsBoolean() && System.nanoTime() < end) {
      pause(SAMPLE);
    }
  }

  private CompletableFuture<Reply> submit(int number, int tasks) {
    Job job = job(id(number), tasks, null);
    cluster.addJobDescription(job);
    return cluster.ask(ASKED, Request.post("/api/jobs", Json.toBytes(UserProtocol.encodeJob(job))));
  }

  private CompletableFuture<Reply> cancel(int number) {
    Request request = Request.post("/api/jobs/" + id(number) + "/withdraw", new byte[0]);
    return cluster.ask(ASKED, request);
  }

  private static String id(int number) {
    return String.format("req-%06d", number);
  }

  /** A job that outlasts the measurement. */
  private static Job job(String id, int tasks, List<String> types) {
    return new Job(
        id,
        "lane",
        "red",
        Priority.NORMAL,
        tasks,
        new Resources(1, 0, 1),
        "image",
        1,
        types,
        null,
        false,
        false,
        true,
        Duration.ofHours(1),
        Duration.ZERO,
        Duration.ZERO,
        null,
        Instant.EPOCH);
  }

  /** Does something on the loop at a steady rate and waits for the answers, where there are any. */
  private void paced(int count, double perSecond, IntFunction<CompletableFuture<Reply>> action)
      throws InterruptedException {
    List<CompletableFuture<Reply>> answers = new ArrayList<>();
    CompletableFuture<Void> sent = new CompletableFuture<>();
    for (int i = 0; i < count; i++) {
      int number = i;
      Duration at = Duration.ofNanos((long) (1e9 * i / perSecond));
      cluster
          .loop()
          .schedule(
              at,
              () -> {
                CompletableFuture<Reply> answer = action.apply(number);
                if (answer != null) {
                  answers.add(answer);
                }
                if (number == count - 1) {
                  sent.complete(null);
                }
              });
    }
    pause(Duration.ofNanos((long) (1e9 * count / perSecond)));
    LoopbackCluster.await(sent);
    long failed =
        answers.stream().filter(answer -> LoopbackCluster.await(answer).status() >= 500).count();
    if (failed > 0) {
      System.out.println(failed + " of " + count + " requests were refused");
    }
    pause(SETTLE);
  }
}
