package io.cherryspool.sim.driver;

import com.fasterxml.jackson.databind.JsonNode;
import io.cherryspool.http.Reply;
import io.cherryspool.http.Request;
import io.cherryspool.model.Job;
import io.cherryspool.model.Outcome;
import io.cherryspool.recovery.DirectorySnapshotStore;
import io.cherryspool.sim.loopback.ControllerProcess;
import io.cherryspool.sim.loopback.EventLoopCalls;
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
 * deploy/service.toml, with fake services and workers; the state store loses its data while an
 * array runs. What it took is written to standard output as Markdown; docs/recovery-operations.md
 * tells how to run it.
 */
public final class RecoveryDriver {
  private static final Path WORK = Path.of("target", "recovery");
  private static final int SERVICES = 85;
  private static final int CONTROLLERS = LoopbackNodes.ZONES.size();
  private static final LoopbackNodes.Limits LIMITS = new LoopbackNodes.Limits(150, 60, 2048, 0);
  private static final int TASKS_PER_SHARD = Records.tasksPerShard(16 * 1024);
  private static final Duration CHECK_INTERVAL = Duration.ofMillis(50);
  private static final Duration SETTLE_TIME = Duration.ofSeconds(15);
  private static final Duration TIMEOUT = Duration.ofSeconds(90);

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
      // The event loops of the fakes would keep the process alive, also after a failure.
      System.exit(status);
    }
  }

  private void run() throws IOException, InterruptedException {
    cluster.listen();
    startControllers();
    for (int i = 0; i < ended; i++) {
      putEnded(String.format("req-%06d", 100_000 + i));
    }
    cluster.bootWorkers();
    Thread.sleep(SETTLE_TIME.toMillis());
    submit();
    awaitNoStarts();
    Thread.sleep(SETTLE_TIME.toMillis());
    RecoveryMeasurement measurement =
        new RecoveryMeasurement(cluster, controllers, status().path("snapshot"));
    measurement.run(leaderEnds);
    measurement.print(ended);
  }

  private void startControllers() throws IOException, InterruptedException {
    ServiceFolder folder =
        ServiceFolder.create(
            WORK,
            "<idle-keep>86400</idle-keep><recovery>on</recovery>"
                + "<snapshot-directory>snapshots</snapshot-directory>"
                + "<snapshot-interval>2</snapshot-interval>");
    deleteSnapshots();
    for (int i = 0; i < CONTROLLERS; i++) {
      controllers.add(folder.start(cluster.nodes(), i, List.of()));
      controllers.get(i).awaitListening();
    }
    awaitLeader();
  }

  /** Snapshots of an earlier run are of another cluster, which nodes would rebuild. */
  private static void deleteSnapshots() throws IOException {
    try (Stream<Path> files = Files.walk(WORK)) {
      List<Path> old =
          files.filter(file -> file.toString().endsWith(DirectorySnapshotStore.SUFFIX)).toList();
      for (Path file : old) {
        Files.delete(file);
      }
    }
  }

  private void awaitLeader() throws InterruptedException {
    ControllerLogs logs = new ControllerLogs(controllers);
    long end = System.nanoTime() + TIMEOUT.toNanos();
    while (logs.firstAt(RecoveryMeasurement.LEADING, 0) < 0) {
      if (System.nanoTime() > end) {
        throw new IllegalStateException("nobody leads");
      }
      Thread.sleep(CHECK_INTERVAL.toMillis());
    }
  }

  private static Job job(String id, int tasks) {
    return LoopbackCluster.job(id, tasks, 2, Duration.ofHours(1));
  }

  private void putEnded(String id) {
    CompletableFuture<Reply> put =
        cluster.commit(
            new StateStoreProtocol.Change(
                Records.jobKey(id), Records.encodeJob(job(id, 1), TASKS_PER_SHARD), 0));
    EventLoopCalls.await(put);
    EventLoopCalls.await(
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
              cluster.fleet().addJobDescription(array);
              return request;
            });
    if (reply.status() != 201) {
      throw new IllegalStateException("the array is answered " + reply.status());
    }
  }

  private Reply ask(String node, Supplier<Request> request) {
    CompletableFuture<Reply> answer = new CompletableFuture<>();
    cluster.loop().execute(() -> cluster.ask(node, request.get()).thenAccept(answer::complete));
    return EventLoopCalls.await(answer);
  }

  /** Until no task has been started for a while. */
  private void awaitNoStarts() throws InterruptedException {
    int before = -1;
    for (int i = 0;
        i < TIMEOUT.toSeconds() / 5 && cluster.fleet().startedTaskCount() != before;
        i++) {
      before = cluster.fleet().startedTaskCount();
      Thread.sleep(5000);
    }
  }

  private JsonNode status() {
    Reply reply = ask(LoopbackNodes.name(1), () -> Request.get("/recovery/status"));
    try {
      return Json.parseObject(reply.body());
    } catch (MalformedMessageException e) {
      throw new IllegalStateException(e);
    }
  }
}
