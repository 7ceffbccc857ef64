package io.cherryspool.sim.loopback;

import io.cherryspool.http.Endpoint;
import io.cherryspool.http.NettyEventLoop;
import io.cherryspool.http.NettyHttpServer;
import io.cherryspool.model.Job;
import io.cherryspool.model.MachineType;
import io.cherryspool.model.Resources;
import io.cherryspool.sim.fakes.FakeCloud;
import io.cherryspool.sim.fakes.FakeStateStore;
import io.cherryspool.sim.fakes.FakeWorker;
import io.cherryspool.sim.fakes.WorkerSettings;
import io.cherryspool.sim.fakes.Workload;
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
import java.util.Optional;
import java.util.SplittableRandom;

/**
 * A program for trying out controllers by hand. It runs a fake state store, a fake cloud and fake
 * workers on loopback addresses, and writes the settings of three controllers into a folder. It
 * prints each task that starts or completes. README.md describes how to use it.
 */
public final class LocalCluster {
  private static final List<String> ZONES = LoopbackNodes.ZONES;
  private static final Endpoint STATE_STORE = new Endpoint("127.0.0.1", 2379);
  private static final Endpoint CLOUD = new Endpoint("127.0.0.1", 8443);
  private static final WorkerSettings WORKER_SETTINGS =
      new WorkerSettings(Duration.ofMillis(2500), Duration.ofSeconds(16), 0);
  private static final Duration INITIAL_BOOT_TIME = Duration.ofMillis(2500);
  private static final int CLOUD_CAPACITY = 12;
  private static final int MAX_CONNECTIONS = 64;
  private static final MachineType MACHINE_TYPE =
      new MachineType(
          "box", new Resources(16, 0, 64), 50, 0.5, 1, 0.4, Duration.ofSeconds(10), ZONES);

  private final NettyEventLoop loop = new NettyEventLoop();
  private final SplittableRandom random = new SplittableRandom();
  private final FakeStateStore stateStore = new FakeStateStore(loop, random.split(), 0);
  private final LoopbackNodes nodes =
      new LoopbackNodes(
          ZONES.size(),
          "127.0.0.",
          8080,
          new LoopbackNodes.Services(STATE_STORE, CLOUD),
          WORKER_SETTINGS,
          new LoopbackNodes.Limits(150, 60, 1000, 128),
          LoopbackRoutes.DIRECT);
  private final LoopbackWorkers workers =
      new LoopbackWorkers(loop, random, nodes.addresses(), WORKER_SETTINGS, new PrintingWorkload());
  private final FakeCloud cloud =
      new FakeCloud(
          loop,
          random.split(),
          List.of(MACHINE_TYPE),
          CLOUD_CAPACITY,
          "127.1.",
          workers::boot,
          workers::kill);
  private final Map<String, Job> jobs = new HashMap<>();

  /** Runs until the process is stopped. The argument is the folder for the settings. */
  public static void main(String[] args) throws Exception {
    if (args.length != 1) {
      System.err.println("usage: LocalCluster FOLDER");
      System.exit(2);
    }
    new LocalCluster().run(Path.of(args[0]));
  }

  private void run(Path folder) throws IOException, InterruptedException {
    stateStore.onPut(this::storeJobDescription);
    new NettyHttpServer(loop, stateStore, MAX_CONNECTIONS).bind(STATE_STORE);
    new NettyHttpServer(loop, cloud, MAX_CONNECTIONS).bind(CLOUD);
    loop.execute(
        () -> ZONES.forEach(zone -> cloud.addMachine("box", zone, false, INITIAL_BOOT_TIME)));
    Files.createDirectories(folder);
    for (int i = 0; i < ZONES.size(); i++) {
      Path file = nodes.writeSettings(folder, i);
      System.out.println("settings of " + LoopbackNodes.name(i) + ": " + file);
    }
    System.out.println("a line with \"lose\" makes the state store lose its data");
    readCommands();
    loop.awaitTermination();
  }

  private void readCommands() throws IOException {
    BufferedReader reader =
        new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8));
    for (String line = reader.readLine(); line != null; line = reader.readLine()) {
      if (line.strip().equals("lose")) {
        loop.execute(stateStore::loseAllData);
        System.out.println("the state store has lost its data");
      }
    }
  }

  /** Prints the starts and completions of tasks. */
  private final class PrintingWorkload implements Workload {
    @Override
    public Optional<Job> job(String id) {
      return Optional.ofNullable(jobs.get(id));
    }

    @Override
    public void onTaskStarted(FakeWorker worker, String task) {
      System.out.println(task + " runs on " + worker.machine().name());
    }

    @Override
    public void onTaskCompleted(String task) {
      System.out.println(task + " is done");
    }
  }

  /**
   * Stores the description of a job when the job is written to the state store. The description
   * represents what real users upload for their tasks to run, and therefore survives a loss of the
   * state store's data.
   */
  private void storeJobDescription(String key) {
    if (key.contains("/jobs/")) {
      try {
        Job job = UserProtocol.parseJob(stateStore.value(key).path("job"), Instant.now());
        jobs.put(job.id(), job);
      } catch (MalformedMessageException e) {
        System.err.println("cannot decode the job of " + key + ": " + e.getMessage());
      }
    }
  }
}
