package io.cherryspool.cli;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.cherryspool.http.Endpoint;
import io.cherryspool.http.NettyEventLoop;
import io.cherryspool.http.NettyHttpClient;
import io.cherryspool.http.NettyHttpServer;
import io.cherryspool.http.Reply;
import io.cherryspool.http.Request;
import io.cherryspool.model.Job;
import io.cherryspool.model.Priority;
import io.cherryspool.model.Resources;
import io.cherryspool.wire.Json;
import io.cherryspool.wire.UserProtocol;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URISyntaxException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.jar.JarEntry;
import java.util.jar.JarFile;

/**
 * The training run for the class-data sharing archive: runs a complete node with {@link
 * TrainingServices}, from reading its settings to its shutdown. The JDK archives only what was in
 * use, so the archive that it writes at exit contains the classes and lambdas of a node that
 * starts, becomes leader and serves requests. Without the archive, a start on a fraction of a core
 * takes seconds.
 */
final class ClassDataTraining {
  private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(2);
  private static final int MAX_SOCKETS = 16;

  /**
   * The maximum number of polls of each wait. The node needs a second and a half to become leader
   * and to register the machine.
   */
  private static final int MAX_POLLS = 100;

  private static final int POLL_INTERVAL_MS = 50;
  private static final String HOST = "127.0.0.1";

  /** Represents the status of a request that got no response. */
  private static final int NO_ANSWER = 0;

  private final NettyEventLoop loop = new NettyEventLoop();
  private final NettyHttpClient client = new NettyHttpClient(loop, MAX_SOCKETS);
  private final Endpoint node = new Endpoint(HOST, freePort());
  private final TrainingServices services;

  private ClassDataTraining() throws IOException, InterruptedException {
    NettyHttpServer server = new NettyHttpServer(loop, this::handle, MAX_SOCKETS);
    server.bind(new Endpoint(HOST, 0));
    services = new TrainingServices(new Endpoint(HOST, server.port()));
  }

  private CompletableFuture<Reply> handle(Request request) {
    return services.handle(request);
  }

  /**
   * Runs the node and sends requests to it. The node is still running when this method returns; the
   * caller ends the process, so that the shutdown is part of the training too.
   */
  static void run() throws Exception {
    ClassDataTraining training = new ClassDataTraining();
    Path settings = Files.createTempFile("training", ".json");
    try {
      Files.write(settings, Json.toBytes(training.settings()));
      new Thread(() -> serve(settings), "node").start();
      training.exerciseNode();
      loadOwnClasses();
    } finally {
      Files.delete(settings);
    }
  }

  private static void serve(Path settings) {
    try {
      NodeLauncher.serve(settings, Path.of(LoadedSettings.DEFAULT_OPERATORS_FILE));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static int freePort() throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return socket.getLocalPort();
    }
  }

  private Reply send(Request request) throws Exception {
    CompletableFuture<Reply> result = new CompletableFuture<>();
    loop.execute(
        () ->
            client
                .send(node, request, REQUEST_TIMEOUT)
                .whenComplete(
                    (reply, failure) ->
                        result.complete(
                            reply == null ? Reply.json(NO_ANSWER, new byte[0]) : reply)));
    return result.get(2 * REQUEST_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
  }

  /** Submits a job, completes it and queries it; submits and cancels another. */
  private void exerciseNode() throws Exception {
    Job completed = job("req-000001");
    Job cancelled = job("req-000002");
    runToCompletion(completed);
    for (Request request :
        List.of(
            Request.get("/ready"),
            Request.get("/metrics"),
            Request.post("/api/jobs", Json.toBytes(UserProtocol.encodeJob(cancelled))),
            Request.post("/api/jobs", new byte[] {'x'}),
            Request.post("/api/jobs/" + cancelled.id() + "/withdraw", new byte[0]),
            Request.get("/api/jobs/" + cancelled.id()),
            Request.get("/api/jobs/" + completed.id()))) {
      send(request);
    }
    Thread.sleep(POLL_INTERVAL_MS);
  }

  /**
   * Sends the worker's heartbeats until the node has placed the job and recorded its completion.
   */
  private void runToCompletion(Job job) throws Exception {
    boolean isSubmitted = false;
    for (int i = 0; i < MAX_POLLS; i++) {
      Reply reply = sendHeartbeat();
      if (reply.status() == 200) {
        services.receiveToken(Json.parseObject(reply.body()));
        if (!isSubmitted) {
          isSubmitted = true;
          send(Request.post("/api/jobs", Json.toBytes(UserProtocol.encodeJob(job))));
        } else if (services.completeTasks()) {
          break;
        }
      }
      Thread.sleep(POLL_INTERVAL_MS);
    }
    sendHeartbeat();
    awaitCompletion(job);
  }

  private Reply sendHeartbeat() throws Exception {
    return send(Request.post("/v1/report", Json.toBytes(services.workerHeartbeat())));
  }

  private void awaitCompletion(Job job) throws Exception {
    for (int i = 0; i < MAX_POLLS; i++) {
      Reply reply = send(Request.get("/api/jobs/" + job.id()));
      if (reply.status() == 200 && Json.parseObject(reply.body()).path("done").intValue() > 0) {
        return;
      }
      Thread.sleep(POLL_INTERVAL_MS);
    }
  }

  private static Job job(String id) {
    return new Job(
        id,
        "any",
        "any",
        Priority.NORMAL,
        1,
        new Resources(1, 0, 1),
        "image",
        1,
        null,
        null,
        false,
        false,
        true,
        REQUEST_TIMEOUT,
        Duration.ZERO,
        Duration.ZERO,
        REQUEST_TIMEOUT,
        Instant.EPOCH);
  }

  /**
   * Returns settings in the platform's format. The only peer has the node's own mesh address, since
   * there is no other node.
   */
  private ObjectNode settings() throws IOException {
    String mesh = new Endpoint(HOST, freePort()).toString();
    ObjectNode root = Json.object().put("host_name", "training");
    root.put("site", TrainingServices.ZONE);
    root.put("client_listen", node.toString());
    root.put("mesh_addr", mesh);
    ArrayNode known = root.putArray("known");
    known
        .addObject()
        .put("host_name", "peer")
        .put("site", TrainingServices.ZONE)
        .put("endpoint", mesh);
    String self = services.endpoint().toString();
    root.putObject("services").put("cloud", self).put("state", self);
    ObjectNode facts = root.putObject("facts");
    facts.putArray("teams").addObject().put("name", "any");
    facts
        .putArray("objectives")
        .addObject()
        .put("kind", "deadline")
        .put("class", "any")
        .put("times", 1.0);
    facts.putObject("workers").put("report_s", 2.0).put("lease_s", 10.0).put("cancel_s", 30.0);
    facts
        .putObject("state")
        .put("rps", 100.0)
        .put("write_rps", 100.0)
        .put("value_kb", 8.0)
        .put("txn_ops", 8);
    facts.putObject("cloud").put("rps", 10.0).put("list_lag_s", 1.0);
    facts.putObject("resources").put("fd_limit", 100);
    return root;
  }

  /** Loads the program's classes that the run did not use, if the program runs from its jar. */
  private static void loadOwnClasses()
      throws IOException, URISyntaxException, ClassNotFoundException {
    Path home =
        Path.of(
            ClassDataTraining.class.getProtectionDomain().getCodeSource().getLocation().toURI());
    if (!home.toString().endsWith(".jar")) {
      return;
    }
    try (JarFile jar = new JarFile(home.toFile())) {
      for (JarEntry entry : Collections.list(jar.entries())) {
        String name = entry.getName();
        if (name.startsWith("io/cherryspool/") && name.endsWith(".class")) {
          Class.forName(name.substring(0, name.length() - 6).replace('/', '.'));
        }
      }
    }
  }
}
