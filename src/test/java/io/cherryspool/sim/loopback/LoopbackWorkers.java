package io.cherryspool.sim.loopback;

import io.cherryspool.http.Endpoint;
import io.cherryspool.http.NettyEventLoop;
import io.cherryspool.http.NettyHttpClient;
import io.cherryspool.http.NettyHttpServer;
import io.cherryspool.sim.fakes.FakeCloud;
import io.cherryspool.sim.fakes.FakeWorker;
import io.cherryspool.sim.fakes.WorkerSettings;
import io.cherryspool.sim.fakes.Workload;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** Fake workers that listen on loopback addresses. Must be used on their event loop. */
final class LoopbackWorkers {
  private static final int SOCKETS_PER_WORKER = 4;
  private static final int SOCKETS_PER_SERVER = 256;

  private final NettyEventLoop loop;
  private final SplittableRandom random;
  private final Map<String, Endpoint> controllers;
  private final WorkerSettings settings;
  private final Workload workload;
  private final Map<String, FakeWorker> workers = new LinkedHashMap<>();

  /** Binds servers on another thread, since binding waits for the event loop. */
  private final ExecutorService bindExecutor =
      Executors.newSingleThreadExecutor(
          task -> {
            Thread thread = new Thread(task, "worker-binding");
            thread.setDaemon(true);
            return thread;
          });

  LoopbackWorkers(
      NettyEventLoop loop,
      SplittableRandom random,
      Map<String, Endpoint> controllers,
      WorkerSettings settings,
      Workload workload) {
    this.loop = loop;
    this.random = random;
    this.controllers = controllers;
    this.settings = settings;
    this.workload = workload;
  }

  /** Starts the worker of a machine that has booted. */
  void boot(FakeCloud.Machine machine) {
    FakeWorker worker =
        new FakeWorker(
            loop,
            random.split(),
            new NettyHttpClient(loop, SOCKETS_PER_WORKER),
            machine,
            controllers,
            settings,
            workload);
    workers.put(machine.name(), worker);
    bindExecutor.execute(() -> startServer(machine, worker));
  }

  private void startServer(FakeCloud.Machine machine, FakeWorker worker) {
    try {
      new NettyHttpServer(loop, worker, SOCKETS_PER_SERVER).bind(Endpoint.parse(machine.address()));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Kills the worker of a machine that the cloud has deleted. Its address remains bound. */
  void kill(FakeCloud.Machine machine) {
    FakeWorker worker = workers.remove(machine.name());
    if (worker != null) {
      worker.kill();
    }
  }

  /** Returns the workers in the order in which they booted. */
  Collection<FakeWorker> all() {
    return workers.values();
  }
}
