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
 * Runs a whole node once among {@link TrainingServices}, from reading its settings to its shutdown,
 * so that the class-data archive made on exit holds what a node loads that starts, takes over and
 * serves, lambdas included: only those that were in use are kept. Starting on a fraction of a core
 * takes seconds otherwise.
 */
final class ClassDataTraining {
  private static final Duration LIMIT = Duration.ofSeconds(2);
  private static final int SOCKETS = 16;

  /** It takes a second and a half to lead and to have heard of the machine. */
  private static final int STEPS = 100;

  private static final int STEP_MS = 50;
  private static final String HOST = "127.0.0.1";

  private final NettyEventLoop loop = new NettyEventLoop();
  private final NettyHttpClient client = new NettyHttpClient(loop, SOCKETS);
  private final Endpoint node = new Endpoint(HOST, freePort());
  private final TrainingServices services;

  private ClassDataTraining() throws IOException, InterruptedException {
    NettyHttpServer server = new NettyHttpServer(loop, this::handle, SOCKETS);
    server.bind(new Endpoint(HOST, 0));
    services = new TrainingServices(new Endpoint(HOST, server.port()));
  }

  private CompletableFuture<Reply> handle(Request request) {
    return services.handle(request);
  }

  /**
   * Runs the node and uses it. The node goes on until the caller ends the process, as a platform
   * would, so that its shutdown is rehearsed too.
   */
  static void run() throws Exception {
    ClassDataTraining rehearsal = new ClassDataTraining();
    Path settings = Files.createTempFile("rehearsal", ".json");
    try {
      Files.write(settings, Json.toBytes(rehearsal.settings()));
      new Thread(() -> serve(settings), "node").start();
      rehearsal.play();
      loadOwnClasses();
    } finally {
      Files.delete(settings);
    }
  }

  private static void serve(Path settings) {
    try {
      NodeLauncher.serve(settings, Path.of(NodeLauncher.OPERATORS_FILE));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static int freePort() throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(HOST))) {
      return socket.getLocalPort();
    }
  }

  private Reply ask(Request request) throws Exception {
    CompletableFuture<Reply> answer = new CompletableFuture<>();
    loop.execute(
        () ->
            client
                .send(node, request, LIMIT)
                .whenComplete(
                    (reply, failure) ->
                        answer.complete(reply == null ? Reply.json(0, new byte[0]) : reply)));
    return answer.get(2 * LIMIT.toMillis(), TimeUnit.MILLISECONDS);
  }

  /** A job is submitted, placed, done and asked about; another is cancelled. */
  private void play() throws Exception {
    Job first = job("req-000001");
    Job second = job("req-000002");
    boolean submitted = false;
    for (int i = 0; i < STEPS; i++) {
      Reply told = ask(Request.post("/v1/report", Json.toBytes(services.workerHeartbeat())));
      if (told.status() == 200) {
        services.receiveToken(Json.parseObject(told.body()));
        if (!submitted) {
          submitted = true;
          ask(Request.post("/api/jobs", Json.toBytes(UserProtocol.encodeJob(first))));
        } else if (services.completeTasks()) {
          break;
        }
      }
      Thread.sleep(STEP_MS);
    }
    ask(Request.post("/v1/report", Json.toBytes(services.workerHeartbeat())));
    awaitDone(first);
    for (Request request :
        List.of(
            Request.get("/ready"),
            Request.get("/metrics"),
            Request.post("/api/jobs", Json.toBytes(UserProtocol.encodeJob(second))),
            Request.post("/api/jobs", new byte[] {'x'}),
            Request.post("/api/jobs/" + second.id() + "/withdraw", new byte[0]),
            Request.get("/api/jobs/" + second.id()),
            Request.get("/api/jobs/" + first.id()))) {
      ask(request);
    }
    Thread.sleep(STEP_MS);
  }

  private void awaitDone(Job job) throws Exception {
    for (int i = 0; i < STEPS; i++) {
      Reply told = ask(Request.get("/api/jobs/" + job.id()));
      if (told.status() == 200 && Json.parseObject(told.body()).path("done").intValue() > 0) {
        return;
      }
      Thread.sleep(STEP_MS);
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
        LIMIT,
        Duration.ZERO,
        Duration.ZERO,
        LIMIT,
        Instant.EPOCH);
  }

  /** As the platform writes them; the node's own mesh address stands for its peer's as well. */
  private ObjectNode settings() throws IOException {
    String mesh = new Endpoint(HOST, freePort()).toString();
    ObjectNode root = Json.object().put("host_name", "rehearsal");
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
