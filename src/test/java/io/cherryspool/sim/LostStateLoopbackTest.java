package io.cherryspool.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cherryspool.http.Reply;
import io.cherryspool.http.Request;
import io.cherryspool.model.Job;
import io.cherryspool.wire.JobWire;
import io.cherryspool.wire.Json;
import io.cherryspool.wire.WireException;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * Five controllers as processes of their own and a few dozen stand-in workers, on real sockets of
 * this machine. The state service's data is deleted while work runs, once under the controllers and
 * once together with all of them; each job's answers are held against a record kept here.
 */
class LostStateLoopbackTest {
  private static final int SERVICES = 81;
  private static final int CONTROLLERS = 5;
  private static final int MACHINES = 24;
  private static final Duration PAUSE = Duration.ofMillis(250);
  private static final long LIMIT_S = 60;

  @TempDir private Path folder;

  private final CostCluster cluster =
      new CostCluster(SERVICES, CONTROLLERS, MACHINES, new LoopbackNodes.Limits(300, 120, 1024, 0));
  private final List<ControllerProcess> controllers = new ArrayList<>();
  private final Map<String, Job> jobs = new HashMap<>();
  private final Map<String, String> ends = new HashMap<>();
  private final List<String> cancelled = new ArrayList<>();
  private int asked;

  @AfterEach
  void stop() throws InterruptedException {
    for (ControllerProcess controller : controllers) {
      controller.kill();
    }
  }

  private void startControllers() throws IOException, InterruptedException {
    Path operators = folder.resolve("operators.xml");
    Files.writeString(
        operators,
        "<cherryspool><recovery>on</recovery><snapshot-directory>"
            + folder.resolve("snapshots")
            + "</snapshot-directory><snapshot-interval>1</snapshot-interval></cherryspool>\n");
    int life = controllers.size();
    for (int i = 0; i < CONTROLLERS; i++) {
      List<String> command =
          List.of(
              Path.of(System.getProperty("java.home"), "bin", "java").toString(),
              "-Xmx96m",
              "-XX:+UseSerialGC",
              "-XX:TieredStopAtLevel=1",
              "-cp",
              System.getProperty("java.class.path"),
              "io.cherryspool.cli.Main",
              "serve",
              "--operators",
              operators.toString(),
              "--config",
              cluster.nodes().write(folder, i).toString());
      controllers.add(
          new ControllerProcess(command, folder, folder.resolve("node-" + (life + i) + ".log")));
    }
    for (ControllerProcess controller : controllers.subList(life, life + CONTROLLERS)) {
      controller.awaitListening();
    }
  }

  /** Asks a node, the next one each time; null without an answer. */
  private Reply ask(Request request) {
    String node = LoopbackNodes.name(asked++ % CONTROLLERS);
    CompletableFuture<Reply> answer = new CompletableFuture<>();
    cluster
        .loop()
        .execute(
            () ->
                cluster
                    .ask(node, request)
                    .whenComplete((reply, failure) -> answer.complete(reply)));
    return CostCluster.await(answer);
  }

  private String submit(int tasks, double seconds) throws InterruptedException {
    String id = String.format("req-%06d", jobs.size() + 1);
    // The stand-in workers run a task for half of the estimate and up to 4 s more.
    Job job = CostCluster.job(id, tasks, 2, Duration.ofMillis((long) (seconds * 2000)));
    jobs.put(id, job);
    cluster.loop().execute(() -> cluster.describe(job));
    until(
        id + " is accepted",
        () -> {
          Reply reply = ask(Request.post("/api/jobs", Json.bytes(JobWire.encode(job))));
          return reply != null && (reply.status() == 201 || reply.status() == 200);
        });
    return id;
  }

  private void cancel(String id) throws InterruptedException {
    cancelled.add(id);
    until(
        id + " is cancelled",
        () -> {
          Reply reply = ask(Request.post("/api/jobs/" + id + "/withdraw", new byte[0]));
          return reply != null && reply.status() == 200 && status(reply).equals("withdrawn");
        });
    ends.put(id, "withdrawn");
  }

  private static String status(Reply reply) {
    try {
      return Json.parseObject(reply.body()).path("status").asText();
    } catch (WireException e) {
      throw new AssertionError(e);
    }
  }

  /** Asks about every job; an accepted one is never unknown, and an end never changes. */
  private boolean allEnded() {
    for (String id : jobs.keySet()) {
      Reply reply = ask(Request.get("/api/jobs/" + id));
      if (reply != null && reply.status() == 404) {
        throw new AssertionError(id + " is forgotten");
      }
      if (reply != null && reply.status() == 200) {
        String status = status(reply);
        boolean end = status.equals("done") || status.equals("withdrawn");
        String before = end ? ends.putIfAbsent(id, status) : ends.get(id);
        assertTrue(before == null || before.equals(status), id + " was " + before + ": " + status);
      }
    }
    return ends.keySet().containsAll(jobs.keySet());
  }

  @FunctionalInterface
  private interface Condition {
    boolean holds();
  }

  private static void until(String what, Condition condition) throws InterruptedException {
    long end = System.nanoTime() + Duration.ofSeconds(LIMIT_S).toNanos();
    while (!condition.holds()) {
      assertTrue(System.nanoTime() < end, what + " within " + LIMIT_S + " s");
      Thread.sleep(PAUSE.toMillis());
    }
  }

  private void pollFor(double seconds) throws InterruptedException {
    long end = System.nanoTime() + (long) (seconds * 1e9);
    while (System.nanoTime() < end) {
      allEnded();
      Thread.sleep(PAUSE.toMillis());
    }
  }

  private void checkTheRecord() {
    assertEquals(0, cluster.leasesLost(), "no worker lost its tasks");
    assertEquals(Set.of(), cluster.startedTwice());
    Map<String, Integer> completed = cluster.completed();
    jobs.forEach(
        (id, job) -> {
          assertEquals(cancelled.contains(id) ? "withdrawn" : "done", ends.get(id), id);
          for (int task = 0; task < job.tasks() && !cancelled.contains(id); task++) {
            assertEquals(1, completed.get(id + "/" + task), id + "/" + task);
          }
        });
  }

  @Test
  @Timeout(240)
  void everyJobGetsItsOneAnswer() throws Exception {
    cluster.listen();
    startControllers();
    cluster.bootWorkers();
    submit(4, 0.5);
    submit(40, 14);
    String first = submit(8, 60);
    until("tasks run", () -> cluster.onMachines() >= 20);
    cancel(first);
    submit(6, 9);
    pollFor(3);
    cluster.loseState();
    submit(5, 2);
    pollFor(4);
    String second = submit(3, 60);
    pollFor(2);
    cancel(second);

    // What snapshots of one second's age have seen survives all controllers as well.
    submit(20, 12);
    pollFor(4);
    cluster.loseState();
    for (ControllerProcess controller : controllers) {
      controller.kill();
    }
    controllers.clear();
    startControllers();
    submit(4, 1);
    until("all jobs have ended", this::allEnded);
    checkTheRecord();
  }
}
