package io.cherryspool.cli;

import io.cherryspool.config.ConfigException;
import io.cherryspool.config.OperatorSettings;
import io.cherryspool.config.RecoverySettings;
import io.cherryspool.config.Settings;
import io.cherryspool.controller.Controller;
import io.cherryspool.controller.recovery.SnapshotTarget;
import io.cherryspool.http.NettyEventLoop;
import io.cherryspool.http.NettyHttpClient;
import io.cherryspool.http.NettyHttpServer;
import io.cherryspool.mesh.Mesh;
import io.cherryspool.mesh.NettyMesh;
import io.cherryspool.recovery.DirectorySnapshotStore;
import io.micrometer.core.instrument.Gauge;
import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.UUID;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Wires the parts of a node on real sockets and clocks. */
final class NodeLauncher {
  private static final Logger LOG = LoggerFactory.getLogger(NodeLauncher.class);

  /** Sockets kept for the calls to the state service, the cloud, the workers and the mesh. */
  private static final double OWN_SOCKETS = 0.25;

  /** Of those, the part for calls; the mesh, files and connections just closing have the rest. */
  private static final double OWN_CALLS = 0.8;

  /** So long a starting node reads the records before it listens without them. */
  private static final Duration UNLOADED = Duration.ofSeconds(6);

  /** The exit status when the settings hold a mistake. */
  static final int BAD_SETTINGS = 2;

  /** Where the operators' settings are if nobody says otherwise. */
  static final String OPERATORS_FILE = "deploy/cherryspool.xml";

  private NodeLauncher() {}

  /** Runs a node until it is ended; returns the exit status. */
  static int serve(Path config, Path operators) throws InterruptedException {
    Optional<LoadedSettings> settings = load(config, operators);
    return settings.isPresent() ? run(settings.get()) : BAD_SETTINGS;
  }

  /** Both settings, checked. */
  record LoadedSettings(Settings platform, OperatorSettings operators) {}

  /** Reads the settings; a mistake is one line on standard error. */
  static Optional<LoadedSettings> load(Path config, Path operators) {
    try {
      return Optional.of(
          new LoadedSettings(Settings.load(config), OperatorSettings.load(operators)));
    } catch (ConfigException e) {
      System.err.println("cherryspool: " + e.getMessage());
      return Optional.empty();
    }
  }

  private static int run(LoadedSettings settings) throws InterruptedException {
    Settings platform = settings.platform();
    NettyEventLoop loop = new NettyEventLoop();
    Controller[] controller = new Controller[1];
    NettyMesh mesh =
        new NettyMesh(
            loop,
            platform.peers().stream().map(Settings.Peer::endpoint).toList(),
            heartbeat -> controller[0].receive(heartbeat));
    MetricsExport metrics = new MetricsExport();
    controller[0] = controller(platform, settings.operators(), loop, mesh, metrics);
    int connections = (int) (platform.fdLimit() * (1 - OWN_SOCKETS));
    NettyHttpServer server = new NettyHttpServer(loop, controller[0], connections);
    metrics.add(controller[0]);
    metrics.add(
        registry ->
            Gauge.builder("cherryspool.connections", server::connectionCount).register(registry));
    List<Runnable> stops = List.of(controller[0]::stop, mesh::stop, loop::shutdown);
    Runtime.getRuntime()
        .addShutdownHook(new Thread(() -> stops.forEach(loop::execute), "shutdown"));
    CountDownLatch loaded = new CountDownLatch(1);
    try {
      mesh.bind(platform.meshAddress());
      loop.execute(mesh::start);
      loop.execute(() -> controller[0].onRecordsLoaded(loaded::countDown));
      loop.execute(controller[0]::start);
      // Until then the node could only turn away who comes. After a restart of all, a thousand
      // workers come at once, and each refused connection costs it next to nothing.
      boolean early = !loaded.await(UNLOADED.toMillis(), TimeUnit.MILLISECONDS);
      server.bind(platform.clientAddress());
      LOG.info(
          "{} in {} listens on {}{}",
          platform.name(),
          platform.zone(),
          platform.clientAddress(),
          early ? ", with no records read yet" : "");
    } catch (InterruptedException e) {
      throw e;
    } catch (Exception e) {
      // Netty throws the checked BindException without declaring it.
      System.err.println("cherryspool: " + e.getMessage());
      return 1;
    }
    loop.awaitTermination();
    return 0;
  }

  /** A controller on the loop's sockets and the machine's clocks. */
  static Controller controller(
      Settings platform,
      OperatorSettings operators,
      NettyEventLoop loop,
      Mesh mesh,
      MetricsExport metrics) {
    long[] entropy = SystemEntropy.read(3);
    return new Controller(
        platform,
        operators,
        new Controller.Dependencies(
            new Controller.Environment(loop, Instant::now, new SplittableRandom(entropy[0])),
            new NettyHttpClient(loop, (int) (platform.fdLimit() * OWN_SOCKETS * OWN_CALLS)),
            mesh,
            new UUID(entropy[1], entropy[2]).toString(),
            metrics::scrape,
            operators
                .recovery()
                .flatMap(RecoverySettings::snapshotDirectory)
                .map(directory -> snapshots(directory.resolve(platform.name()))),
            Optional.empty()));
  }

  /** Snapshots are written by a thread of their own, which ends with the process. */
  private static SnapshotTarget snapshots(Path directory) {
    ExecutorService writer =
        Executors.newSingleThreadExecutor(
            task -> {
              Thread thread = new Thread(task, "snapshots");
              thread.setDaemon(true);
              return thread;
            });
    return new SnapshotTarget(new DirectorySnapshotStore(directory), writer);
  }
}
