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
 * Measures a recovery. Three controllers run in separate processes, started by the command of
 * deploy/service.toml, with fake services and workers, and the state store loses its data while an
 * array runs. The figures are printed as Markdown; docs/recovery-operations.md describes how to run
 * the program.
 */
public final class RecoveryDriver {
  private static final Path WORK_DIRECTORY = Path.of("target", "recovery");
  private static final int SUBNET = 85;
  private static final int CONTROLLERS = LoopbackNodes.ZONES.size();
  private static final LoopbackNodes.Limits LIMITS = new LoopbackNodes.Limits(150, 60, 2048, 0);
  private static final int TASKS_PER_SHARD = Records.tasksPerShard(16 * 1024);
  private static final Duration CHECK_INTERVAL = Duration.ofMillis(50);
  private static final Duration SETTLE_TIME = Duration.ofSeconds(15);
  private static final Duration TIMEOUT = Duration.ofSeconds(90);

  private final LoopbackCluster cluster;
  private final int taskCount;
  private final int endedJobCount;
  private final boolean killsLeader;
  private final List<ControllerProcess> controllers = new ArrayList<>();

  private RecoveryDriver(int machines, int taskCount, int endedJobCount, boolean killsLeader) {
    this.taskCount = taskCount;
    this.endedJobCount = endedJobCount;
    this.killsLeader = killsLeader;
    this.cluster = new LoopbackCluster(SUBNET, CONTROLLERS, machines, LIMITS);
  }

  /**
   * Runs the measurement. The arguments are the number of machines, the number of tasks of the
   * array, the number of ended jobs and, to kill the leader when the data is lost, {@code leader}.
   */
  public static void main(String[] args) throws Exception {
    boolean killsLeader = args.length == 4 && args[3].equals("leader");
    if (args.length != 3 && !killsLeader) {
      System.err.println("usage: RecoveryDriver MACHINES TASKS ENDED [leader]");
      System.exit(2);
    }
    RecoveryDriver driver =
        new RecoveryDriver(
            Integer.parseInt(args[0]),
            Integer.parseInt(args[1]),
            Integer.parseInt(args[2]),
            killsLeader);
    int exitCode = 1;
    try {
      driver.run();
      exitCode = 0;
    } catch (IOException | RuntimeException e) {
      System.err.println("the run failed and gives no valid figures: " + e);
    } finally {
      for (ControllerProcess controller : driver.controllers) {
        controller.kill();
      }
      // Otherwise the event loops of the fakes would keep the process alive, even after a failure.
      System.exit(exitCode);
    }
  }

  private void run() throws IOException, InterruptedException {
    cluster.startServers();
    startControllers();
    for (int i = 0; i < endedJobCount; i++) {
      writeEndedJob(String.format("req-%06d", 100_000 + i));
    }
    cluster.bootWorkers();
    Thread.sleep(SETTLE_TIME.toMillis());
    submitArray();
    awaitAllTasksStarted();
    Thread.sleep(SETTLE_TIME.toMillis());
    RecoveryMeasurement measurement =
        new RecoveryMeasurement(cluster, controllers, recoveryStatus().path("snapshot"));
    measurement.run(killsLeader);
    measurement.print(endedJobCount);
  }

  private void startControllers() throws IOException, InterruptedException {
    ServiceFolder folder =
        ServiceFolder.create(
            WORK_DIRECTORY,
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

  /** Deletes the snapshots of earlier runs, from which nodes would rebuild another cluster. */
  private static void deleteSnapshots() throws IOException {
    try (Stream<Path> files = Files.walk(WORK_DIRECTORY)) {
      List<Path> snapshotFiles =
          files.filter(file -> file.toString().endsWith(DirectorySnapshotStore.SUFFIX)).toList();
      for (Path file : snapshotFiles) {
        Files.delete(file);
      }
    }
  }

  private void awaitLeader() throws InterruptedException {
    ControllerLogs logs = new ControllerLogs(controllers);
    long end = System.nanoTime() + TIMEOUT.toNanos();
    while (logs.timeOfFirst(RecoveryMeasurement.LEADING_TEXT, 0) < 0) {
      if (System.nanoTime() > end) {
        throw new IllegalStateException("no controller became leader within " + TIMEOUT);
      }
      Thread.sleep(CHECK_INTERVAL.toMillis());
    }
  }

  private static Job job(String id, int tasks) {
    return LoopbackCluster.job(id, tasks, 2, Duration.ofHours(1));
  }

  private void writeEndedJob(String id) {
    CompletableFuture<Reply> jobWritten =
        cluster.commit(
            new StateStoreProtocol.Change(
                Records.jobKey(id), Records.encodeJob(job(id, 1), TASKS_PER_SHARD), 0));
    EventLoopCalls.await(jobWritten);
    EventLoopCalls.await(
        cluster.commit(
            new StateStoreProtocol.Change(
                Records.outcomeKey(id), Records.encodeOutcome(Outcome.DONE), 0)));
  }

  private void submitArray() {
    Job array = job("req-000001", taskCount);
    Request request = Request.post("/api/jobs", Json.toBytes(UserProtocol.encodeJob(array)));
    Reply reply =
        send(
            LoopbackNodes.name(1),
            () -> {
              cluster.fleet().addJobDescription(array);
              return request;
            });
    if (reply.status() != 201) {
      throw new IllegalStateException("the submission of the array got status " + reply.status());
    }
  }

  private Reply send(String node, Supplier<Request> request) {
    CompletableFuture<Reply> answer = new CompletableFuture<>();
    cluster.loop().execute(() -> cluster.send(node, request.get()).thenAccept(answer::complete));
    return EventLoopCalls.await(answer);
  }

  /** Waits until no task has been started for a while. */
  private void awaitAllTasksStarted() throws InterruptedException {
    int startedBefore = -1;
    for (int i = 0;
        i < TIMEOUT.toSeconds() / 5 && cluster.fleet().startedTaskCount() != startedBefore;
        i++) {
      startedBefore = cluster.fleet().startedTaskCount();
      Thread.sleep(5000);
    }
  }

  private JsonNode recoveryStatus() {
    Reply reply = send(LoopbackNodes.name(1), () -> Request.get("/recovery/status"));
    try {
      return Json.parseObject(reply.body());
    } catch (MalformedMessageException e) {
      throw new IllegalStateException(e);
    }
  }
}
