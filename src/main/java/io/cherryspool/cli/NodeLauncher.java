package io.cherryspool.cli;

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

/**
 * Creates the components of a node with real sockets and clocks, and runs the node. A launcher runs
 * a single node and is used on the main thread; the node itself runs on its event loop.
 */
final class NodeLauncher {
  /** The exit status if the settings contain an error. */
  static final int EXIT_INVALID_SETTINGS = 2;

  private static final Logger LOG = LoggerFactory.getLogger(NodeLauncher.class);

  /** The exit status if a port cannot be bound. */
  private static final int EXIT_BIND_FAILED = 1;

  /**
   * The fraction of all sockets that is reserved for the node's own calls to the state store, the
   * cloud, the workers and the other nodes.
   */
  private static final double OWN_SOCKETS_FRACTION = 0.25;

  /**
   * The fraction of the reserved sockets that HTTP calls may use. The rest is for the mesh, files
   * and connections that are being closed.
   */
  private static final double HTTP_CALLS_FRACTION = 0.8;

  /** How long a starting node waits for its records to load before it listens without them. */
  private static final Duration MAX_LOAD_WAIT = Duration.ofSeconds(6);

  private final Settings platform;
  private final NettyEventLoop loop = new NettyEventLoop();
  private final MetricsExport metrics = new MetricsExport();
  private final NettyMesh mesh;
  private final Controller controller;
  private final NettyHttpServer server;

  private NodeLauncher(LoadedSettings settings) {
    platform = settings.platform();
    mesh =
        new NettyMesh(
            loop,
            platform.peers().stream().map(Settings.Peer::endpoint).toList(),
            this::receiveHeartbeat);
    controller = controller(platform, settings.operators(), loop, mesh, metrics);
    int maxConnections = (int) (platform.fileDescriptorLimit() * (1 - OWN_SOCKETS_FRACTION));
    server = new NettyHttpServer(loop, controller, maxConnections);
    metrics.add(controller);
    metrics.add(
        registry ->
            Gauge.builder("cherryspool.connections", server::connectionCount).register(registry));
  }

  /**
   * Runs a node until the process is terminated.
   *
   * @param config the platform's settings file
   * @param operators the operators' settings file, which may be absent
   * @return the exit status
   */
  static int serve(Path config, Path operators) throws InterruptedException {
    Optional<LoadedSettings> settings = LoadedSettings.load(config, operators);
    return settings.isPresent() ? run(settings.get()) : EXIT_INVALID_SETTINGS;
  }

  /** Runs a node until the process is terminated; returns the exit status. */
  static int run(LoadedSettings settings) throws InterruptedException {
    NodeLauncher node = new NodeLauncher(settings);
    node.stopOnShutdown();
    try {
      node.start();
    } catch (InterruptedException e) {
      throw e;
    } catch (Exception e) {
      // Netty throws the checked BindException without declaring it.
      System.err.println("cherryspool: " + e.getMessage());
      return EXIT_BIND_FAILED;
    }
    node.loop.awaitTermination();
    return 0;
  }

  private void receiveHeartbeat(Mesh.PeerHeartbeat heartbeat) {
    controller.receivePeerHeartbeat(heartbeat);
  }

  /**
   * Adds a shutdown hook that stops the components of the node. The hook only submits tasks to the
   * event loop, which then stops the controller, the mesh and finally itself.
   */
  private void stopOnShutdown() {
    List<Runnable> stops = List.of(controller::stop, mesh::stop, loop::shutdown);
    Runtime.getRuntime()
        .addShutdownHook(new Thread(() -> stops.forEach(loop::execute), "shutdown"));
  }

  /** Starts the node and returns once it listens for requests. */
  private void start() throws InterruptedException {
    CountDownLatch loaded = new CountDownLatch(1);
    mesh.bind(platform.meshAddress());
    loop.execute(mesh::start);
    loop.execute(() -> controller.onRecordsLoaded(loaded::countDown));
    loop.execute(controller::start);
    // Waits before listening, since the node would refuse every request until the records are
    // loaded. After a restart of all nodes, a thousand workers connect at once, and it costs almost
    // nothing if the operating system refuses their connections.
    boolean isLoaded = loaded.await(MAX_LOAD_WAIT.toMillis(), TimeUnit.MILLISECONDS);
    server.bind(platform.clientAddress());
    LOG.info(
        "{} in {} listens on {}{}",
        platform.name(),
        platform.zone(),
        platform.clientAddress(),
        isLoaded ? "" : ", with no records read yet");
  }

  /** Creates a controller that uses the loop's sockets and the system clock. */
  private static Controller controller(
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
            new NettyHttpClient(
                loop,
                (int)
                    (platform.fileDescriptorLimit() * OWN_SOCKETS_FRACTION * HTTP_CALLS_FRACTION)),
            mesh,
            new UUID(entropy[1], entropy[2]).toString(),
            metrics::scrape,
            operators
                .recovery()
                .flatMap(RecoverySettings::snapshotDirectory)
                .map(directory -> snapshots(directory.resolve(platform.name()))),
            Optional.empty()));
  }

  /** Returns a target that writes snapshots on a daemon thread, since file operations block. */
  private static SnapshotTarget snapshots(Path directory) {
    ExecutorService snapshotExecutor =
        Executors.newSingleThreadExecutor(
            task -> {
              Thread thread = new Thread(task, "snapshots");
              thread.setDaemon(true);
              return thread;
            });
    return new SnapshotTarget(new DirectorySnapshotStore(directory), snapshotExecutor);
  }
}
