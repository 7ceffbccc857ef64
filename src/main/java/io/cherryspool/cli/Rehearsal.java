package io.cherryspool.cli;

import io.cherryspool.config.OperatorSettings;
import io.cherryspool.config.Settings;
import io.cherryspool.controller.Controller;
import io.cherryspool.http.Endpoint;
import io.cherryspool.http.NettyClient;
import io.cherryspool.http.NettyLoop;
import io.cherryspool.http.NettyServer;
import io.cherryspool.http.Request;
import io.cherryspool.mesh.Mesh;
import io.cherryspool.mesh.NettyMesh;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.io.IOException;
import java.net.URISyntaxException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.jar.JarEntry;
import java.util.jar.JarFile;

/**
 * Uses a node once without any service around it, so that the class-data archive made on exit holds
 * what a starting node loads. Starting on a fraction of a core takes seconds otherwise.
 */
final class Rehearsal {
  private static final Duration LIMIT = Duration.ofSeconds(2);
  private static final int SOCKETS = 16;

  private Rehearsal() {}

  static int run() throws Exception {
    NettyLoop loop = new NettyLoop();
    Endpoint any = new Endpoint("127.0.0.1", 0);
    Controller[] controller = new Controller[1];
    NettyServer server = new NettyServer(loop, request -> controller[0].handle(request), 100);
    server.bind(any);
    Endpoint self = new Endpoint("127.0.0.1", server.port());
    NettyMesh mesh = new NettyMesh(loop, List.of(self), word -> controller[0].heard(word));
    NettyClient client = new NettyClient(loop, SOCKETS);
    controller[0] =
        Server.controller(
            settings(any, self),
            OperatorSettings.DEFAULTS,
            loop,
            mesh,
            new PrometheusMeterRegistry(PrometheusConfig.DEFAULT));
    loop.execute(controller[0]::start);
    loop.execute(() -> mesh.tell(new Mesh.Word("rehearsal", 1, true, 0, 0, 0)));
    byte[] body =
        "{\"ref\":\"req-000000\",\"pieces\":[1,2.5,null,true]}".getBytes(StandardCharsets.UTF_8);
    for (Request request :
        List.of(
            Request.get("/ready"),
            Request.get("/metrics"),
            Request.post("/api/jobs", body),
            Request.post("/v1/report", body),
            Request.get("/api/jobs/req-000000"))) {
      CompletableFuture<Integer> status = new CompletableFuture<>();
      loop.execute(
          () ->
              client
                  .send(self, request, LIMIT)
                  .whenComplete(
                      (reply, failure) -> status.complete(reply == null ? 0 : reply.status())));
      status.get(LIMIT.toMillis(), TimeUnit.MILLISECONDS);
    }
    loadOwnClasses();
    loop.execute(controller[0]::stop);
    loop.execute(loop::shutdown);
    loop.join();
    return 0;
  }

  private static Settings settings(Endpoint any, Endpoint self) {
    return new Settings(
        "rehearsal",
        "none",
        any,
        any,
        List.of(),
        self,
        self,
        List.of(),
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
