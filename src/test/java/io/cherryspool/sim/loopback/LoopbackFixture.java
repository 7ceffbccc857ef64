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
 * Controllers as processes of their own and a few dozen fake workers, on real sockets of this
 * machine, with users whose record of their jobs' answers is kept here.
 */
abstract class LoopbackFixture {
  private static final Duration PAUSE = Duration.ofMillis(250);
  private static final long LIMIT_S = 60;

  @TempDir Path folder;

  final LoopbackCluster cluster;
  private final ControllerProcess[] controllers;
  private final Map<String, Job> jobs = new HashMap<>();
  private final Map<String, String> ends = new HashMap<>();
  private final List<String> cancelled = new ArrayList<>();
  private int lives;
  private int asked;

  LoopbackFixture(int controllers, LoopbackCluster cluster) {
    this.cluster = cluster;
    this.controllers = new ControllerProcess[controllers];
  }

  @AfterEach
  void killControllers() throws InterruptedException {
    for (int i = 0; i < controllers.length; i++) {
      kill(i);
    }
  }

  /** Ends the controller without a signal that it could take notice of. */
  void kill(int number) throws InterruptedException {
    if (controllers[number] != null) {
      controllers[number].kill();
      controllers[number] = null;
    }
  }

  /** Starts all controllers, and waits until they listen. */
  void startControllers(Optional<Path> operators) throws IOException, InterruptedException {
    for (int i = 0; i < controllers.length; i++) {
      start(i, operators);
    }
    for (ControllerProcess controller : controllers) {
      controller.awaitListening();
    }
  }

  /** Starts the controller of this number. */
  void start(int number, Optional<Path> operators) throws IOException {
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
                cluster.nodes().write(folder, number).toString()));
    operators.ifPresent(file -> command.addAll(List.of("--operators", file.toString())));
    Path log = folder.resolve("node-" + lives++ + ".log");
    controllers[number] = new ControllerProcess(command, folder, log);
  }

  /** Asks a node, the next one each time; null without an answer. */
  Reply ask(Request request) {
    return ask(asked++ % controllers.length, request);
  }

  /** Asks the node of this number; null without an answer. */
  Reply ask(int number, Request request) {
    CompletableFuture<Reply> answer = new CompletableFuture<>();
    cluster
        .loop()
        .execute(
            () ->
                cluster
                    .ask(LoopbackNodes.name(number), request)
                    .whenComplete((reply, failure) -> answer.complete(reply)));
    return EventLoopCalls.await(answer);
  }

  String submit(int tasks, double seconds) throws InterruptedException {
    Job job = newJob(tasks, seconds);
    until(job.id() + " is accepted", () -> accepted(ask(submission(job))));
    return job.id();
  }

  /** Submits at this node alone; returns whether it accepts at the first try. */
  boolean submitAt(int number, int tasks, double seconds) throws InterruptedException {
    Job job = newJob(tasks, seconds);
    boolean first = accepted(ask(number, submission(job)));
    if (!first) {
      until(job.id() + " is accepted", () -> accepted(ask(submission(job))));
    }
    return first;
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

  private static boolean accepted(Reply reply) {
    return reply != null && (reply.status() == 201 || reply.status() == 200);
  }

  void cancel(String id) throws InterruptedException {
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
    } catch (MalformedMessageException e) {
      throw new AssertionError(e);
    }
  }

  /** Asks about every job; an accepted one is never unknown, and an end never changes. */
  boolean allEnded() {
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
  interface Condition {
    boolean holds();
  }

  static void until(String what, Condition condition) throws InterruptedException {
    long end = System.nanoTime() + Duration.ofSeconds(LIMIT_S).toNanos();
    while (!condition.holds()) {
      assertTrue(System.nanoTime() < end, what + " within " + LIMIT_S + " s");
      Thread.sleep(PAUSE.toMillis());
    }
  }

  void pollFor(double seconds) throws InterruptedException {
    long end = System.nanoTime() + (long) (seconds * 1e9);
    while (System.nanoTime() < end) {
      allEnded();
      Thread.sleep(PAUSE.toMillis());
    }
  }

  /** No task was on two machines, no answer is lost, and each has the end that it must have. */
  void checkAnswers() {
    assertEquals(Set.of(), cluster.fleet().tasksStartedTwice());
    Map<String, Integer> completed = cluster.fleet().completions();
    boolean leasesHeld = cluster.fleet().expiredLeases() == 0;
    jobs.forEach(
        (id, job) -> {
          assertEquals(cancelled.contains(id) ? "withdrawn" : "done", ends.get(id), id);
          for (int task = 0; task < job.taskCount() && !cancelled.contains(id); task++) {
            int times = completed.getOrDefault(id + "/" + task, 0);
            assertTrue(leasesHeld ? times == 1 : times >= 1, id + "/" + task + ": " + times);
          }
        });
  }
}
