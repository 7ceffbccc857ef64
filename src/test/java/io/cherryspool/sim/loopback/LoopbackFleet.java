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
 * The workers of a {@link LoopbackCluster}, and a count of what they run. Unless a method says
 * otherwise it may be called on any thread but the event loop, and waits for the loop.
 */
public final class LoopbackFleet {
  private final NettyEventLoop loop;
  private final Duration lease;
  private final LoopbackWorkers workers;
  private final Map<String, Job> jobs = new HashMap<>();
  private final Map<String, Integer> completions = new HashMap<>();
  private final Set<String> startedTwice = new HashSet<>();
  private final Set<String> endedLate = new HashSet<>();
  private int startedTasks;

  LoopbackFleet(
      NettyEventLoop loop,
      SplittableRandom random,
      Map<String, Endpoint> controllers,
      WorkerSettings settings) {
    this.loop = loop;
    this.lease = settings.lease();
    this.workers = new LoopbackWorkers(loop, random, controllers, settings, new CountedTasks());
  }

  /** Counts starts and completions, on the loop. */
  private final class CountedTasks implements Workload {
    @Override
    public Optional<Job> job(String id) {
      return Optional.ofNullable(jobs.get(id));
    }

    @Override
    public void taskStarted(FakeWorker worker, String task) {
      startedTasks++;
      for (FakeWorker other : workers.all()) {
        if (other != worker && other.runningTasks().contains(task)) {
          // A loop that is behind ends the tasks of an expired lease too late.
          boolean isExpired = loop.now().minus(other.leaseRenewedAt()).compareTo(lease) > 0;
          (isExpired ? endedLate : startedTwice).add(task);
        }
      }
    }

    @Override
    public void taskCompleted(String task) {
      completions.merge(task, 1, Integer::sum);
    }
  }

  /** Starts the worker of a machine that has booted. Call it on the loop. */
  void boot(FakeCloud.Machine machine) {
    workers.boot(machine);
  }

  /** From now on workers can run tasks of this job. Call it on the loop. */
  public void addJobDescription(Job job) {
    jobs.put(job.id(), job);
  }

  /** The worker of this number; numbers beyond the last begin again. Call it on the loop. */
  public FakeWorker worker(int number) {
    List<FakeWorker> all = new ArrayList<>(workers.all());
    return all.get(number % all.size());
  }

  /**
   * Tasks that were started while another machine, whose lease had expired, had not killed them
   * yet: this process was too slow, and what a run with such tasks measures means little.
   */
  public Set<String> tasksEndedLate() {
    return EventLoopCalls.call(loop, () -> Set.copyOf(endedLate));
  }

  /** Tasks that were started on one machine while they ran on another with a valid lease. */
  public Set<String> tasksStartedTwice() {
    return EventLoopCalls.call(loop, () -> Set.copyOf(startedTwice));
  }

  /** How often each task has completed. */
  public Map<String, Integer> completions() {
    return EventLoopCalls.call(loop, () -> Map.copyOf(completions));
  }

  /** Completes so many running tasks now, one on each machine. */
  public void completeTasks(int count) {
    EventLoopCalls.run(
        loop,
        () ->
            workers.all().stream()
                .filter(worker -> !worker.runningTasks().isEmpty())
                .limit(count)
                .forEach(FakeWorker::completeOneTask));
  }

  /** How many tasks run now. */
  public int runningTaskCount() {
    return EventLoopCalls.call(
        loop, () -> workers.all().stream().mapToInt(each -> each.runningTasks().size()).sum());
  }

  /** How many tasks were ever started. */
  public int startedTaskCount() {
    return EventLoopCalls.call(loop, () -> startedTasks);
  }

  /** How many heartbeats the workers have made. */
  public long heartbeatCount() {
    return EventLoopCalls.call(
        loop, () -> workers.all().stream().mapToLong(FakeWorker::heartbeatCount).sum());
  }

  /** How many leases have expired; a measurement should see none. */
  public long expiredLeases() {
    return EventLoopCalls.call(
        loop, () -> workers.all().stream().mapToLong(each -> each.agentEpoch() - 1).sum());
  }
}
