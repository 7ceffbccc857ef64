package io.cherryspool.sim.driver;

import com.fasterxml.jackson.databind.JsonNode;
import io.cherryspool.http.Reply;
import io.cherryspool.http.Request;
import io.cherryspool.model.Job;
import io.cherryspool.model.Outcome;
import io.cherryspool.recovery.DirectorySnapshotStore;
import io.cherryspool.sim.loopback.ControllerProcess;
import io.cherryspool.sim.loopback.LoopbackCluster;
import io.cherryspool.sim.loopback.LoopbackNodes;
import io.cherryspool.store.Records;
import io.cherryspool.wire.Json;
import io.cherryspool.wire.MalformedMessageException;
import io.cherryspool.wire.StateStoreProtocol;
import io.cherryspool.wire.UserProtocol;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import java.util.stream.Stream;

/**
 * Measures a recovery: three controllers run as processes of their own, by the command of
 * deploy/service.toml, among stand-ins; the state service loses its data while an array runs. What
 * it took is written to standard output as Markdown; docs/recovery-operations.md tells how to run
 * it.
 */
public final class RecoveryDriver {
  private static final Path WORK = Path.of("target", "recovery");
  private static final int SERVICES = 85;
  private static final int CONTROLLERS = LoopbackNodes.ZONES.size();
  private static final LoopbackNodes.Limits LIMITS = new LoopbackNodes.Limits(150, 60, 2048, 0);
  private static final int TASKS_PER_SHARD = Records.tasksPerShard(16 * 1024);
  private static final Duration SAMPLE = Duration.ofMillis(50);
  private static final Duration SETTLE = Duration.ofSeconds(15);
  private static final Duration PATIENCE = Duration.ofSeconds(90);
  private static final String NOTICED = "has lost data";
  private static final String LEADING = "; rebuilding ownership";
  private static final int WINDOW = (int) (1000 / SAMPLE.toMillis());

  private final LoopbackCluster cluster;
  private final int tasks;
  private final int ended;
  private final boolean leaderEnds;
  private final List<ControllerProcess> controllers = new ArrayList<>();

  private RecoveryDriver(int machines, int tasks, int ended, boolean leaderEnds) {
    this.tasks = tasks;
    this.ended = ended;
    this.leaderEnds = leaderEnds;
    this.cluster = new LoopbackCluster(SERVICES, CONTROLLERS, machines, LIMITS);
  }

  /**
   * Takes the number of machines, of the array's tasks and of jobs that have ended, and {@code
   * leader} if the leader is to end with the data.
   */
  public static void main(String[] args) throws Exception {
    boolean leader = args.length == 4 && args[3].equals("leader");
    if (args.length != 3 && !leader) {
      System.err.println("usage: RecoveryDriver MACHINES TASKS ENDED [leader]");
      System.exit(2);
    }
    RecoveryDriver driver =
        new RecoveryDriver(
            Integer.parseInt(args[0]),
            Integer.parseInt(args[1]),
            Integer.parseInt(args[2]),
            leader);
    int status = 1;
    try {
      driver.run();
      status = 0;
    } catch (IOException | RuntimeException e) {
      System.err.println("the run counts for nothing: " + e);
    } finally {
      for (ControllerProcess controller : driver.controllers) {
        controller.kill();
      }
      // The stand-ins' event loops would keep the process alive, also after a failure.
      System.exit(status);
    }
  }

  private void run() throws IOException, InterruptedException {
    cluster.listen();
    Files.createDirectories(WORK.resolve("deploy"));
    dropSnapshots();
    Path target = WORK.resolve("target");
    if (!Files.exists(target)) {
      Files.createSymbolicLink(target, Path.of("target").toAbsolutePath());
    }
    Files.writeString(
        WORK.resolve("deploy").resolve("cherryspool.xml"),
        "<cherryspool><idle-keep>86400</idle-keep><recovery>on</recovery>"
            + "<snapshot-directory>snapshots</snapshot-directory>"
            + "<snapshot-interval>2</snapshot-interval></cherryspool>\n");
    for (int i = 0; i < CONTROLLERS; i++) {
      Path settings = cluster.nodes().write(WORK, i).toAbsolutePath();
      Path log = WORK.resolve(LoopbackNodes.name(i) + ".log");
      List<String> command = ServiceCommand.read().with(List.of(), settings);
      controllers.add(new ControllerProcess(command, WORK, log));
      controllers.get(i).awaitListening();
    }
    awaitLeader();
    for (int i = 0; i < ended; i++) {
      putEnded(String.format("req-%06d", 100_000 + i));
    }
    cluster.bootWorkers();
    Thread.sleep(SETTLE.toMillis());
    submit();
    awaitCalm();
    Thread.sleep(SETTLE.toMillis());
    measure();
  }

  /** Those of an earlier run are of another cluster, which nodes would rebuild. */
  private static void dropSnapshots() throws IOException {
    try (Stream<Path> files = Files.walk(WORK)) {
      List<Path> old =
          files.filter(file -> file.toString().endsWith(DirectorySnapshotStore.SUFFIX)).toList();
      for (Path file : old) {
        Files.delete(file);
      }
    }
  }

  private void awaitLeader() throws InterruptedException {
    long end = System.nanoTime() + PATIENCE.toNanos();
    while (firstTold(LEADING, 0) < 0) {
      if (System.nanoTime() > end) {
        throw new IllegalStateException("nobody leads");
      }
      Thread.sleep(SAMPLE.toMillis());
    }
  }

  /** Whose log tells of leading; valid while nobody has led but one. */
  private ControllerProcess leader() {
    return controllers.stream()
        .filter(controller -> controller.firstLogLineAt(LEADING, 0) >= 0)
        .findFirst()
        .orElseThrow();
  }

  private static Job job(String id, int tasks) {
    return LoopbackCluster.job(id, tasks, 2, Duration.ofHours(1));
  }

  private void putEnded(String id) {
    CompletableFuture<Reply> put =
        cluster.commit(
            new StateStoreProtocol.Change(
                Records.jobKey(id), Records.encodeJob(job(id, 1), TASKS_PER_SHARD), 0));
    LoopbackCluster.await(put);
    LoopbackCluster.await(
        cluster.commit(
            new StateStoreProtocol.Change(
                Records.outcomeKey(id), Records.encodeOutcome(Outcome.DONE), 0)));
  }

  private void submit() {
    Job array = job("req-000001", tasks);
    Request request = Request.post("/api/jobs", Json.toBytes(UserProtocol.encodeJob(array)));
    Reply reply =
        ask(
            LoopbackNodes.name(1),
            () -> {
              cluster.addJobDescription(array);
              return request;
            });
    if (reply.status() != 201) {
      throw new IllegalStateException("the array is answered " + reply.status());
    }
  }

  private Reply ask(String node, Supplier<Request> request) {
    CompletableFuture<Reply> answer = new CompletableFuture<>();
    cluster.loop().execute(() -> cluster.ask(node, request.get()).thenAccept(answer::complete));
    return LoopbackCluster.await(answer);
  }

  /** Until no task has been started for a while. */
  private void awaitCalm() throws InterruptedException {
    int before = -1;
    for (int i = 0; i < PATIENCE.toSeconds() / 5 && cluster.startedTasks() != before; i++) {
      before = cluster.startedTasks();
      Thread.sleep(5000);
    }
  }

  private void measure() throws IOException, InterruptedException {
    int running = cluster.runningTaskCount();
    JsonNode snapshot = status().path("snapshot");
    double before = peakMemory();
    long leasesBefore = cluster.expiredLeases();
    int twiceBefore = cluster.tasksStartedTwice().size();
    int lateBefore = cluster.tasksEndedLate().size();
    long[] load = cluster.stateLoad();
    List<long[]> samples = new ArrayList<>();
    int started = cluster.startedTasks();
    ControllerProcess leader = leader();
    long lost = System.nanoTime();
    cluster.loseStateStoreData();
    if (leaderEnds) {
      leader.kill();
      controllers.remove(leader);
    }
    long firstStart = -1;
    long end = lost + PATIENCE.toNanos();
    // Some tasks are made to end, so that the next leader has something to start.
    while (System.nanoTime() < end && (firstTold(LEADING, lost) < 0 || firstStart < 0)) {
      Thread.sleep(SAMPLE.toMillis());
      samples.add(cluster.stateLoad());
      if (firstStart < 0 && cluster.startedTasks() > started) {
        firstStart = System.nanoTime();
      }
      if (firstTold(LEADING, lost) >= 0 && firstStart < 0) {
        cluster.finishTasks(1);
      }
    }
    long[] after = cluster.stateLoad();
    row("machines, running tasks, ended jobs", cluster.machineCount(), running, ended);
    row(
        "noticed by the first and the last node, ms",
        ms(firstTold(NOTICED, lost), lost),
        ms(lastTold(NOTICED, lost), lost));
    row("rebuilt, ms", ms(firstTold("is whole", lost), lost));
    row("served again, ms", ms(firstTold("serving incarnation", lost), lost));
    row("led again, ms", ms(firstTold(LEADING, lost), lost));
    row("first order, ms", ms(firstStart, lost));
    row("requests, changes meanwhile", after[0] - load[0], after[1] - load[1]);
    row("most requests, changes in a second", most(samples, 0), most(samples, 1));
    row("most memory of a controller before, after, MiB", before, peakMemory());
    row(
        "snapshot: bytes, ms",
        snapshot.path("bytes").asDouble(),
        snapshot.path("took_ms").asDouble());
    row(
        "before the loss: leases lost, tasks on two machines, ended late by the stand-ins",
        leasesBefore,
        twiceBefore,
        lateBefore);
    row(
        "since the loss, the same",
        cluster.expiredLeases() - leasesBefore,
        cluster.tasksStartedTwice().size() - twiceBefore,
        cluster.tasksEndedLate().size() - lateBefore);
  }

  private JsonNode status() {
    Reply reply = ask(LoopbackNodes.name(1), () -> Request.get("/recovery/status"));
    try {
      return Json.parseObject(reply.body());
    } catch (MalformedMessageException e) {
      throw new IllegalStateException(e);
    }
  }

  private long firstTold(String text, long since) {
    long first = -1;
    for (ControllerProcess controller : controllers) {
      long at = controller.firstLogLineAt(text, since);
      first = first < 0 || at >= 0 && at < first ? at : first;
    }
    return first;
  }

  private long lastTold(String text, long since) {
    long last = -1;
    for (ControllerProcess controller : controllers) {
      last = Math.max(last, controller.firstLogLineAt(text, since));
    }
    return last;
  }

  private static double ms(long at, long since) {
    return at < 0 ? Double.NaN : (at - since) / 1e6;
  }

  /** The most of any second, from samples of the sums. */
  private static double most(List<long[]> samples, int which) {
    long most = 0;
    for (int i = WINDOW; i < samples.size(); i++) {
      most = Math.max(most, samples.get(i)[which] - samples.get(i - WINDOW)[which]);
    }
    return most;
  }

  private double peakMemory() throws IOException {
    double most = 0;
    for (int i = 0; i < controllers.size(); i++) {
      most = Math.max(most, controllers.get(i).statusMib("VmHWM"));
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
