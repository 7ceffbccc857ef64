package io.cherryspool.sim.cluster;

import io.cherryspool.http.Endpoint;
import io.cherryspool.model.Job;
import io.cherryspool.sim.fakes.FakeCloud;
import io.cherryspool.sim.fakes.FakeWorker;
import io.cherryspool.sim.fakes.WorkerSettings;
import io.cherryspool.sim.fakes.Workload;
import io.cherryspool.sim.network.SimulatedNetwork;
import io.cherryspool.sim.time.ProcessInbox;
import io.cherryspool.sim.time.VirtualTime;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;

/**
 * The workers of a {@link SimulatedCluster} by the names of their machines. Contains only machines
 * that are up.
 */
public final class SimulatedFleet {
  private final VirtualTime time;
  private final SplittableRandom random;
  private final SimulatedNetwork network;
  private final Map<String, Endpoint> controllers;
  private final WorkerSettings settings;
  private final Workload workload;
  private final Map<String, FakeWorker> workers = new TreeMap<>();

  /**
   * Creates the simulated fleet.
   *
   * @param random the generator from which the generator of each worker is split when it boots
   * @param controllers the addresses of the controllers by name; must be complete before the first
   *     machine boots
   */
  SimulatedFleet(
      VirtualTime time,
      SplittableRandom random,
      SimulatedNetwork network,
      Map<String, Endpoint> controllers,
      WorkerSettings settings,
      Workload workload) {
    this.time = time;
    this.random = random;
    this.network = network;
    this.controllers = controllers;
    this.settings = settings;
    this.workload = workload;
  }

  /** Creates and starts the worker of a machine that has booted. */
  void boot(FakeCloud.Machine machine) {
    FakeWorker worker =
        new FakeWorker(
            time,
            random.split(),
            network.transportFrom(machine.host(), ProcessInbox.alwaysOpen()),
            machine,
            controllers,
            settings,
            workload);
    workers.put(machine.name(), worker);
    network.listen(Endpoint.parse(machine.address()), worker);
  }

  /** Kills the worker of a machine that the cloud has terminated. */
  void shutDown(FakeCloud.Machine machine) {
    FakeWorker worker = workers.remove(machine.name());
    if (worker != null) {
      worker.kill();
      network.close(Endpoint.parse(machine.address()));
    }
  }

  /** Returns the workers in the order of their machines' names. */
  public Collection<FakeWorker> workers() {
    return Collections.unmodifiableCollection(workers.values());
  }

  /** Returns the workers that run tasks of the job. */
  public List<FakeWorker> workersRunning(Job job) {
    return workers.values().stream()
        .filter(worker -> worker.runningTasks().stream().anyMatch(task -> isTaskOf(job, task)))
        .toList();
  }

  /** Returns the number of running tasks of the job. */
  public int runningTaskCount(Job job) {
    return (int)
        workers.values().stream()
            .flatMap(worker -> worker.runningTasks().stream())
            .filter(task -> isTaskOf(job, task))
            .count();
  }

  private static boolean isTaskOf(Job job, String task) {
    return task.startsWith(job.id() + "/");
  }

  /**
   * Kills the worker with the most running tasks, while the cloud continues to list its machine as
   * running. Returns the name of the machine.
   */
  public String killBusiestMachine() {
    FakeWorker busiest =
        workers.values().stream()
            .max(Comparator.comparingInt(worker -> worker.runningTasks().size()))
            .orElseThrow();
    busiest.kill();
    return busiest.machine().name();
  }

  /** Returns the total number of expired worker leases on the machines that are up. */
  public long expiredLeaseCount() {
    return workers.values().stream().mapToLong(worker -> worker.agentEpoch() - 1).sum();
  }
}
