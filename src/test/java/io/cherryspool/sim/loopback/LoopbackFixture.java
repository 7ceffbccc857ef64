package io.cherryspool.sim.loopback;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cherryspool.http.Reply;
import io.cherryspool.http.Request;
import io.cherryspool.model.Job;
import io.cherryspool.wire.Json;
import io.cherryspool.wire.MalformedMessageException;
import io.cherryspool.wire.UserProtocol;
import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.io.TempDir;

/**
 * Runs controllers in separate processes and a few dozen fake workers on real sockets of this
 * machine. Acts as the users of the controllers and records the status of their jobs.
 */
abstract class LoopbackFixture {
  private static final Duration POLL_INTERVAL = Duration.ofMillis(250);
  private static final long TIMEOUT_S = 60;

  @TempDir Path folder;

  final LoopbackCluster cluster;
  private final ControllerProcess[] controllers;
  private final Map<String, Job> jobs = new HashMap<>();
  private final Map<String, String> finalStatuses = new HashMap<>();
  private final List<String> cancelled = new ArrayList<>();
  private int startCount;
  private int requestCount;

  LoopbackFixture(int controllers, LoopbackCluster cluster) {
    this.cluster = cluster;
    this.controllers = new ControllerProcess[controllers];
  }

  @AfterEach
  void killControllers() throws InterruptedException {
    for (int i = 0; i < controllers.length; i++) {
      killController(i);
    }
  }

  /** Kills the controller without a signal that it could handle. */
  void killController(int number) throws InterruptedException {
    if (controllers[number] != null) {
      controllers[number].kill();
      controllers[number] = null;
    }
  }

  /** Starts all controllers and waits until they listen. */
  void startControllers(Optional<Path> operatorSettings) throws IOException, InterruptedException {
    for (int i = 0; i < controllers.length; i++) {
      startController(i, operatorSettings);
    }
    for (ControllerProcess controller : controllers) {
      controller.awaitListening();
    }
  }

  /** Starts the controller with the given number. */
  void startController(int number, Optional<Path> operatorSettings) throws IOException {
    List<String> command =
        new ArrayList<>(
            List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-Xmx96m",
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "-cp",
                System.getProperty("java.class.path"),
                "io.cherryspool.cli.Main",
                "serve",
                "--config",
                cluster.nodes().writeSettings(folder, number).toString()));
    operatorSettings.ifPresent(file -> command.addAll(List.of("--operators", file.toString())));
    Path log = folder.resolve("node-" + startCount++ + ".log");
    controllers[number] = new ControllerProcess(command, folder, log);
  }

  /** Sends a request to the next node in turn; returns null if there is no reply. */
  Reply send(Request request) {
    return send(requestCount++ % controllers.length, request);
  }

  /** Sends a request to the node with the given number; returns null if there is no reply. */
  Reply send(int number, Request request) {
    CompletableFuture<Reply> answer = new CompletableFuture<>();
    cluster
        .loop()
        .execute(
            () ->
                cluster
                    .send(LoopbackNodes.name(number), request)
                    .whenComplete((reply, failure) -> answer.complete(reply)));
    return EventLoopCalls.await(answer);
  }

  String submit(int tasks, double seconds) throws InterruptedException {
    Job job = newJob(tasks, seconds);
    await(job.id() + " is accepted", () -> isAccepted(send(submission(job))));
    return job.id();
  }

  /**
   * Submits a job to the given node, and returns whether it accepts the job at the first attempt.
   */
  boolean submitAt(int number, int tasks, double seconds) throws InterruptedException {
    Job job = newJob(tasks, seconds);
    boolean isAcceptedAtOnce = isAccepted(send(number, submission(job)));
    if (!isAcceptedAtOnce) {
      await(job.id() + " is accepted", () -> isAccepted(send(submission(job))));
    }
    return isAcceptedAtOnce;
  }

  private Job newJob(int tasks, double seconds) {
    String id = String.format("req-%06d", jobs.size() + 1);
    // The fake workers run a task for half of the estimate and up to 4 s more.
    Job job = LoopbackCluster.job(id, tasks, 2, Duration.ofMillis((long) (seconds * 2000)));
    jobs.put(id, job);
    cluster.loop().execute(() -> cluster.fleet().addJobDescription(job));
    return job;
  }

  private static Request submission(Job job) {
    return Request.post("/api/jobs", Json.toBytes(UserProtocol.encodeJob(job)));
  }

  private static boolean isAccepted(Reply reply) {
    return reply != null && (reply.status() == 201 || reply.status() == 200);
  }

  void cancel(String id) throws InterruptedException {
    cancelled.add(id);
    await(
        id + " is cancelled",
        () -> {
          Reply reply = send(Request.post("/api/jobs/" + id + "/withdraw", new byte[0]));
          return reply != null && reply.status() == 200 && status(reply).equals("withdrawn");
        });
    finalStatuses.put(id, "withdrawn");
  }

  private static String status(Reply reply) {
    try {
      return Json.parseObject(reply.body()).path("status").asText();
    } catch (MalformedMessageException e) {
      throw new AssertionError(e);
    }
  }

  /**
   * Queries every job and returns whether all have ended. Fails if a node does not know an accepted
   * job, or if the final status of a job has changed.
   */
  boolean haveAllJobsEnded() {
    for (String id : jobs.keySet()) {
      Reply reply = send(Request.get("/api/jobs/" + id));
      if (reply != null && reply.status() == 404) {
        throw new AssertionError(id + " was accepted, but a node does not know it");
      }
      if (reply != null && reply.status() == 200) {
        String status = status(reply);
        boolean isFinal = status.equals("done") || status.equals("withdrawn");
        String earlierFinalStatus =
            isFinal ? finalStatuses.putIfAbsent(id, status) : finalStatuses.get(id);
        assertTrue(
            earlierFinalStatus == null || earlierFinalStatus.equals(status),
            id + " had the final status " + earlierFinalStatus + ", and now has " + status);
      }
    }
    return finalStatuses.keySet().containsAll(jobs.keySet());
  }

  @FunctionalInterface
  interface Condition {
    boolean holds();
  }

  static void await(String expectation, Condition condition) throws InterruptedException {
    long end = System.nanoTime() + Duration.ofSeconds(TIMEOUT_S).toNanos();
    while (!condition.holds()) {
      assertTrue(
          System.nanoTime() < end, expectation + ": not the case within " + TIMEOUT_S + " s");
      Thread.sleep(POLL_INTERVAL.toMillis());
    }
  }

  void pollJobsFor(double seconds) throws InterruptedException {
    long end = System.nanoTime() + (long) (seconds * 1e9);
    while (System.nanoTime() < end) {
      haveAllJobsEnded();
      Thread.sleep(POLL_INTERVAL.toMillis());
    }
  }

  /**
   * Checks that no task ran on two machines at the same time, and that each job has the right final
   * status and each of its tasks the right number of completions.
   */
  void checkOutcomes() {
    assertEquals(Set.of(), cluster.fleet().tasksStartedTwice());
    Map<String, Integer> completed = cluster.fleet().completions();
    boolean hasNoExpiredLease = cluster.fleet().expiredLeaseCount() == 0;
    jobs.forEach(
        (id, job) -> {
          assertEquals(cancelled.contains(id) ? "withdrawn" : "done", finalStatuses.get(id), id);
          for (int task = 0; task < job.taskCount() && !cancelled.contains(id); task++) {
            int completionCount = completed.getOrDefault(id + "/" + task, 0);
            assertTrue(
                hasNoExpiredLease ? completionCount == 1 : completionCount >= 1,
                id + "/" + task + ": completions=" + completionCount);
          }
        });
  }
}
