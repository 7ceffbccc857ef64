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

/** The machines of a {@link SimulatedCluster} that are up, each with its worker, by name. */
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
   * @param random from which each worker splits its own as it boots
   * @param controllers addresses by name; may be filled in later than this, before a machine boots
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

  /** Starts the worker of a machine that has booted. */
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

  /** Ends a machine that the cloud has deleted or taken away. */
  void end(FakeCloud.Machine machine) {
    FakeWorker worker = workers.remove(machine.name());
    if (worker != null) {
      worker.kill();
      network.close(Endpoint.parse(machine.address()));
    }
  }

  /** The workers in the order of their machines' names. */
  public Collection<FakeWorker> workers() {
    return Collections.unmodifiableCollection(workers.values());
  }

  /** The workers that run tasks of the job. */
  public List<FakeWorker> workersRunning(Job job) {
    return workers.values().stream()
        .filter(worker -> worker.runningTasks().stream().anyMatch(task -> isOf(job, task)))
        .toList();
  }

  /** How many tasks of the job run. */
  public int runningTaskCount(Job job) {
    return (int)
        workers.values().stream()
            .flatMap(worker -> worker.runningTasks().stream())
            .filter(task -> isOf(job, task))
            .count();
  }

  private static boolean isOf(Job job, String task) {
    return task.startsWith(job.id() + "/");
  }

  /** Kills the machine with most running tasks; the cloud lists it as running. Returns its name. */
  public String killBusiestMachine() {
    FakeWorker victim =
        workers.values().stream()
            .max(Comparator.comparingInt(worker -> worker.runningTasks().size()))
            .orElseThrow();
    victim.kill();
    return victim.machine().name();
  }

  /** How many leases have expired on the machines that are up. */
  public long expiredLeaseCount() {
    return workers.values().stream().mapToLong(worker -> worker.agentEpoch() - 1).sum();
  }
}
