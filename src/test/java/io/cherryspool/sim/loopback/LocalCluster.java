package io.cherryspool.sim.loopback;

import io.cherryspool.http.Endpoint;
import io.cherryspool.http.NettyEventLoop;
import io.cherryspool.http.NettyHttpClient;
import io.cherryspool.http.NettyHttpServer;
import io.cherryspool.model.Job;
import io.cherryspool.model.MachineType;
import io.cherryspool.model.Resources;
import io.cherryspool.sim.fakes.FakeCloud;
import io.cherryspool.sim.fakes.FakeStateStore;
import io.cherryspool.sim.fakes.FakeWorker;
import io.cherryspool.wire.MalformedMessageException;
import io.cherryspool.wire.UserProtocol;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * The stand-ins on real sockets of this machine, for whoever wants to see the program at work: a
 * state service, a cloud, and a worker for each machine it rents. Writes the settings of three
 * nodes into a folder; see README.
 */
public final class LocalCluster {
  private static final List<String> ZONES = LoopbackNodes.ZONES;
  private static final Endpoint STATE = new Endpoint("127.0.0.1", 2379);
  private static final Endpoint CLOUD = new Endpoint("127.0.0.1", 8443);
  private static final Duration REPORT = Duration.ofMillis(2500);
  private static final Duration LEASE = Duration.ofSeconds(16);
  private static final int MACHINES = 12;
  private static final int SOCKETS = 64;
  private static final MachineType BOX =
      new MachineType(
          "box", new Resources(16, 0, 64), 50, 0.5, 1, 0.4, Duration.ofSeconds(10), ZONES);

  private final NettyEventLoop loop = new NettyEventLoop();
  private final SplittableRandom random = new SplittableRandom();
  private final FakeStateStore state = new FakeStateStore(loop, random.split(), 0);
  private final FakeCloud cloud =
      new FakeCloud(loop, random.split(), List.of(BOX), MACHINES, "127.1.", this::boot, this::end);
  private final NettyHttpClient client = new NettyHttpClient(loop, SOCKETS);
  private final LoopbackNodes nodes =
      new LoopbackNodes(
          ZONES.size(),
          "127.0.0.",
          8080,
          STATE,
          CLOUD,
          REPORT,
          LEASE,
          new LoopbackNodes.Limits(150, 60, 1000, 128),
          LoopbackRoutes.DIRECT);
  private final Map<String, FakeWorker> workers = new HashMap<>();
  private final Map<String, Job> descriptions = new HashMap<>();

  /** Takes the folder for the settings, and runs until it is stopped. */
  public static void main(String[] args) throws Exception {
    if (args.length != 1) {
      System.err.println("usage: Playground FOLDER");
      System.exit(2);
    }
    new LocalCluster().run(Path.of(args[0]));
  }

  private void run(Path folder) throws IOException, InterruptedException {
    state.onPut(this::describe);
    new NettyHttpServer(loop, state, SOCKETS).bind(STATE);
    new NettyHttpServer(loop, cloud, SOCKETS).bind(CLOUD);
    loop.execute(() -> ZONES.forEach(zone -> cloud.addMachine("box", zone, false, REPORT)));
    Files.createDirectories(folder);
    for (int i = 0; i < ZONES.size(); i++) {
      Path file = nodes.write(folder, i);
      System.out.println("settings of " + LoopbackNodes.name(i) + ": " + file);
    }
    System.out.println("a line with \"lose\" makes the state service lose its data");
    readCommands();
    loop.awaitTermination();
  }

  private void readCommands() throws IOException {
    BufferedReader in =
        new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8));
    for (String line = in.readLine(); line != null; line = in.readLine()) {
      if (line.strip().equals("lose")) {
        loop.execute(state::loseAllData);
        System.out.println("the state service has lost its data");
      }
    }
  }

  private void boot(FakeCloud.Machine machine) {
    FakeWorker worker =
        new FakeWorker(
            loop,
            random.split(),
            client,
            machine,
            nodes.addresses(),
            descriptions::get,
            REPORT,
            LEASE,
            0,
            (on, task) -> System.out.println(task + " runs on " + on.machine().name),
            task -> System.out.println(task + " is done"));
    workers.put(machine.name, worker);
    // Binding waits for the loop, on which this runs.
    new Thread(() -> listen(machine, worker), machine.name).start();
  }

  private void listen(FakeCloud.Machine machine, FakeWorker worker) {
    try {
      new NettyHttpServer(loop, worker, SOCKETS).bind(Endpoint.parse(machine.address()));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void end(FakeCloud.Machine machine) {
    FakeWorker worker = workers.remove(machine.name);
    if (worker != null) {
      worker.kill();
    }
  }

  /**
   * Users upload what a job's tasks are to run; here it is what they told the service. It outlives
   * the state service's data.
   */
  private void describe(String key) {
    if (key.contains("/jobs/")) {
      try {
        Job job = UserProtocol.parseJob(state.value(key).path("job"), Instant.now());
        descriptions.put(job.id(), job);
      } catch (MalformedMessageException e) {
        System.err.println("the job of " + key + " can't be read: " + e.getMessage());
      }
    }
  }
}
