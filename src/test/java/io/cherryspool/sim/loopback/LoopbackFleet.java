package io.cherryspool.sim.loopback;

import io.cherryspool.http.Endpoint;
import io.cherryspool.http.NettyEventLoop;
import io.cherryspool.model.Job;
import io.cherryspool.sim.fakes.FakeCloud;
import io.cherryspool.sim.fakes.FakeWorker;
import io.cherryspool.sim.fakes.WorkerSettings;
import io.cherryspool.sim.fakes.Workload;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;

/**
 * The workers of a {@link LoopbackCluster}, and counts of the tasks that they run. Unless stated
 * otherwise, a method waits for the event loop and may be called on any other thread.
 */
public final class LoopbackFleet {
  private final NettyEventLoop loop;
  private final Duration lease;
  private final LoopbackWorkers workers;
  private final Map<String, Job> jobs = new HashMap<>();
  private final Map<String, Integer> completions = new HashMap<>();
  private final Set<String> tasksStartedTwice = new HashSet<>();
  private final Set<String> tasksEndedLate = new HashSet<>();
  private int startedTaskCount;

  LoopbackFleet(
      NettyEventLoop loop,
      SplittableRandom random,
      Map<String, Endpoint> controllers,
      WorkerSettings settings) {
    this.loop = loop;
    this.lease = settings.lease();
    this.workers = new LoopbackWorkers(loop, random, controllers, settings, new CountingWorkload());
  }

  /** Counts starts and completions of tasks. Called on the loop. */
  private final class CountingWorkload implements Workload {
    @Override
    public Optional<Job> job(String id) {
      return Optional.ofNullable(jobs.get(id));
    }

    @Override
    public void onTaskStarted(FakeWorker worker, String task) {
      startedTaskCount++;
      for (FakeWorker other : workers.all()) {
        if (other != worker && other.runningTasks().contains(task)) {
          // If the event loop lags, the other worker kills the tasks of its expired lease too late.
          boolean isExpired = loop.now().minus(other.leaseRenewedAt()).compareTo(lease) > 0;
          (isExpired ? tasksEndedLate : tasksStartedTwice).add(task);
        }
      }
    }

    @Override
    public void onTaskCompleted(String task) {
      completions.merge(task, 1, Integer::sum);
    }
  }

  /** Starts the worker of a machine that has booted. Must be called on the loop. */
  void boot(FakeCloud.Machine machine) {
    workers.boot(machine);
  }

  /** Allows workers to run tasks of this job from now on. Must be called on the loop. */
  public void addJobDescription(Job job) {
    jobs.put(job.id(), job);
  }

  /** Returns a worker by its number, modulo the number of workers. Must be called on the loop. */
  public FakeWorker worker(int number) {
    List<FakeWorker> allWorkers = new ArrayList<>(workers.all());
    return allWorkers.get(number % allWorkers.size());
  }

  /**
   * Returns the tasks that were started on a machine while another machine still ran them, although
   * the lease of the other machine had expired. This happens if the process of the fakes is too
   * slow; the measurements of the run are then unreliable.
   */
  public Set<String> tasksEndedLate() {
    return EventLoopCalls.call(loop, () -> Set.copyOf(tasksEndedLate));
  }

  /**
   * Returns the tasks that were started on a machine while another machine with a valid lease ran
   * them.
   */
  public Set<String> tasksStartedTwice() {
    return EventLoopCalls.call(loop, () -> Set.copyOf(tasksStartedTwice));
  }

  /** Returns how often each task has completed. */
  public Map<String, Integer> completions() {
    return EventLoopCalls.call(loop, () -> Map.copyOf(completions));
  }

  /** Completes up to {@code count} running tasks now, one on each machine. */
  public void completeTasks(int count) {
    EventLoopCalls.run(
        loop,
        () ->
            workers.all().stream()
                .filter(worker -> !worker.runningTasks().isEmpty())
                .limit(count)
                .forEach(FakeWorker::completeOneTask));
  }

  /** Returns the number of running tasks. */
  public int runningTaskCount() {
    return EventLoopCalls.call(
        loop, () -> workers.all().stream().mapToInt(each -> each.runningTasks().size()).sum());
  }

  /** Returns the number of task starts so far. */
  public int startedTaskCount() {
    return EventLoopCalls.call(loop, () -> startedTaskCount);
  }

  /** Returns the number of heartbeats that the workers have encoded. */
  public long heartbeatCount() {
    return EventLoopCalls.call(
        loop, () -> workers.all().stream().mapToLong(FakeWorker::heartbeatCount).sum());
  }

  /** Returns the number of expired worker leases, which should be 0 in a measurement. */
  public long expiredLeaseCount() {
    return EventLoopCalls.call(
        loop, () -> workers.all().stream().mapToLong(each -> each.agentEpoch() - 1).sum());
  }
}
