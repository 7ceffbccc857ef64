package io.cherryspool.cli;

import io.cherryspool.config.OperatorSettings;
import io.cherryspool.config.Settings;
import io.cherryspool.controller.Controller;
import io.cherryspool.http.Endpoint;
import io.cherryspool.http.NettyClient;
import io.cherryspool.http.NettyLoop;
import io.cherryspool.http.NettyServer;
import io.cherryspool.http.Reply;
import io.cherryspool.http.Request;
import io.cherryspool.mesh.Mesh;
import io.cherryspool.mesh.NettyMesh;
import io.cherryspool.model.Job;
import io.cherryspool.model.Priority;
import io.cherryspool.model.Resources;
import io.cherryspool.model.Team;
import io.cherryspool.wire.JobWire;
import io.cherryspool.wire.Json;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.io.IOException;
import java.net.URISyntaxException;
import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.jar.JarEntry;
import java.util.jar.JarFile;

/**
 * Uses a node once among {@link RehearsalServices}, so that the class-data archive made on exit
 * holds what a node loads that starts, takes over and serves, lambdas included: only those that
 * were in use are kept. Starting on a fraction of a core takes seconds otherwise.
 */
final class Rehearsal {
  private static final Duration LIMIT = Duration.ofSeconds(2);
  private static final int SOCKETS = 16;

  /** It takes a second and a half to lead and to have heard of the machine. */
  private static final int STEPS = 100;

  private static final int STEP_MS = 50;

  /** The node's own paths; all others are of what stands around it. */
  private static final List<String> OWN = List.of("/api", "/v1", "/ready", "/metrics");

  private Rehearsal() {}

  static int run() throws Exception {
    NettyLoop loop = new NettyLoop();
    Endpoint any = new Endpoint("127.0.0.1", 0);
    Controller[] controller = new Controller[1];
    RehearsalServices[] services = new RehearsalServices[1];
    NettyServer server =
        new NettyServer(
            loop,
            request ->
                OWN.stream().anyMatch(request.path()::startsWith)
                    ? controller[0].handle(request)
                    : services[0].handle(request),
            100);
    server.bind(any);
    Endpoint self = new Endpoint("127.0.0.1", server.port());
    services[0] = new RehearsalServices(self);
    NettyMesh mesh =
        new NettyMesh(loop, List.of(self), heartbeat -> controller[0].receive(heartbeat));
    NettyClient client = new NettyClient(loop, SOCKETS);
    controller[0] =
        Server.controller(
            settings(any, self),
            OperatorSettings.DEFAULTS,
            loop,
            mesh,
            new PrometheusMeterRegistry(PrometheusConfig.DEFAULT));
    loop.execute(controller[0]::start);
    loop.execute(() -> mesh.broadcast(new Mesh.Heartbeat("rehearsal", 1, true, 0, 0, 0)));
    play(request -> ask(loop, client, self, request), services[0]);
    loadOwnClasses();
    loop.execute(controller[0]::stop);
    loop.execute(loop::shutdown);
    loop.join();
    return 0;
  }

  /** Asks the node something and waits for the answer. */
  @FunctionalInterface
  private interface Asker {
    Reply ask(Request request) throws Exception;
  }

  private static Reply ask(NettyLoop loop, NettyClient client, Endpoint self, Request request)
      throws Exception {
    CompletableFuture<Reply> answer = new CompletableFuture<>();
    loop.execute(
        () ->
            client
                .send(self, request, LIMIT)
                .whenComplete(
                    (reply, failure) ->
                        answer.complete(reply == null ? Reply.json(0, new byte[0]) : reply)));
    return answer.get(2 * LIMIT.toMillis(), TimeUnit.MILLISECONDS);
  }

  /** A job is submitted, placed, done and asked about; another is cancelled. */
  private static void play(Asker node, RehearsalServices services) throws Exception {
    Job first = job("req-000001");
    Job second = job("req-000002");
    boolean submitted = false;
    for (int i = 0; i < STEPS; i++) {
      Reply told = node.ask(Request.post("/v1/report", Json.bytes(services.report())));
      if (told.status() == 200) {
        services.told(Json.parseObject(told.body()));
        if (!submitted) {
          submitted = true;
          node.ask(Request.post("/api/jobs", Json.bytes(JobWire.encode(first))));
        } else if (services.finish()) {
          break;
        }
      }
      Thread.sleep(STEP_MS);
    }
    node.ask(Request.post("/v1/report", Json.bytes(services.report())));
    for (Request request :
        List.of(
            Request.get("/ready"),
            Request.get("/metrics"),
            Request.post("/api/jobs", Json.bytes(JobWire.encode(second))),
            Request.post("/api/jobs", new byte[] {'x'}),
            Request.post("/api/jobs/" + second.id() + "/withdraw", new byte[0]),
            Request.get("/api/jobs/" + second.id()),
            Request.get("/api/jobs/" + first.id()))) {
      node.ask(request);
    }
    Thread.sleep(STEP_MS);
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

  private static Settings settings(Endpoint any, Endpoint self) {
    return new Settings(
        "rehearsal",
        RehearsalServices.ZONE,
        any,
        any,
        List.of(),
        self,
        self,
        List.of(new Team("any", 0, 0, 0, 0)),
        Map.of(),
        Duration.ofSeconds(2),
        Duration.ofSeconds(10),
        Duration.ofSeconds(30),
        new Settings.StateLimits(100, 100, 8192, 8),
        10,
        Duration.ofSeconds(1),
        100);
  }

  private static void loadOwnClasses()
      throws IOException, URISyntaxException, ClassNotFoundException {
    Path home =
        Path.of(Rehearsal.class.getProtectionDomain().getCodeSource().getLocation().toURI());
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
