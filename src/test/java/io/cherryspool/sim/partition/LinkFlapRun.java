package io.cherryspool.sim.partition;

import io.cherryspool.model.Job;
import io.cherryspool.sim.cluster.SimulatedCluster;
import io.cherryspool.sim.cluster.SimulatedController;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/**
 * A simulated run in which one link fails repeatedly for two minutes while jobs arrive. It measures
 * how much these failures disrupt the cluster.
 */
public final class LinkFlapRun {
  private static final double SETTLE_S = 40;
  private static final double FLAPPING_S = 120;
  private static final double QUIET_S = 90;
  private static final Duration MINUTE = Duration.ofSeconds(60);

  private final SimulatedCluster cluster;
  private final Link link;
  private final Duration flapDuration;
  private final List<Job> jobs = new ArrayList<>();
  private final Deque<Duration> recentLeaderChanges = new ArrayDeque<>();
  private long term;
  private int maxLeaderChangesPerMinute;
  private int leaderChanges;
  private int submittedTasks;

  /**
   * The link that flaps. In these descriptions, the leader is the node that leads when a failure
   * begins.
   */
  public enum Link {
    /** The state store answers 503 to the leader's requests. */
    STATE_REFUSED,
    /** Messages between the leader and the state store arrive only when the failure ends. */
    STATE_SILENT,
    /** No heartbeats between controllers arrive. */
    PEERS,
    /** Messages between the leader and all workers arrive only when the failure ends. */
    WORKERS,
    /**
     * Messages into and out of the zone of another controller arrive only when the failure ends.
     */
    ZONE
  }

  /**
   * What the flaps cause. Repeated task starts are counted until the end of the run, everything
   * else only while the link flaps.
   *
   * @param leaderChanges the number of leader changes
   * @param maxLeaderChangesPerMinute the most leader changes within a minute
   * @param repeatedTaskStarts the number of task starts beyond the first one of each task
   * @param failedRequests the number of user requests that were answered 503 or not at all
   * @param addedMachines the number of machines that were added
   * @param deletedMachines the number of machines that were deleted
   */
  public record Disruption(
      int leaderChanges,
      int maxLeaderChangesPerMinute,
      int repeatedTaskStarts,
      int failedRequests,
      int addedMachines,
      int deletedMachines) {}

  private LinkFlapRun(long seed, Link link, Duration flapDuration) {
    this.cluster = SimulatedCluster.of(seed, 3);
    this.link = link;
    this.flapDuration = flapDuration;
  }

  /**
   * Runs a cluster in which the link alternately fails and works, and returns the disruption.
   *
   * @param flapDuration how long the link fails each time, and how long it works in between; zero
   *     if it never fails
   */
  public static Disruption run(long seed, Link link, Duration flapDuration) {
    return new LinkFlapRun(seed, link, flapDuration).run();
  }

  private Disruption run() {
    cluster.schedule(1, this::submitNextJob);
    cluster.run(SETTLE_S);
    term = term();
    int addedBefore = cluster.cloud().addedMachineCount();
    int deletedBefore = cluster.cloud().deletedMachineCount();
    int failedRequestsBefore = cluster.users().failedRequestCount();
    if (!flapDuration.isZero()) {
      flapRepeatedly(SETTLE_S + FLAPPING_S);
    }
    countLeaderChanges();
    cluster.run(FLAPPING_S);
    Disruption whileFlapping =
        new Disruption(
            leaderChanges,
            maxLeaderChangesPerMinute,
            0,
            cluster.users().failedRequestCount() - failedRequestsBefore,
            cluster.cloud().addedMachineCount() - addedBefore,
            cluster.cloud().deletedMachineCount() - deletedBefore);
    cluster.run(QUIET_S);
    for (Job job : jobs) {
      if (!cluster.rules().hasEnded(job.id())) {
        throw new AssertionError(job.id() + " has not ended");
      }
    }
    return new Disruption(
        whileFlapping.leaderChanges,
        whileFlapping.maxLeaderChangesPerMinute,
        cluster.rules().startCount() - submittedTasks,
        whileFlapping.failedRequests,
        whileFlapping.addedMachines,
        whileFlapping.deletedMachines);
  }

  private void submitNextJob() {
    if (cluster.time().seconds() > SETTLE_S + FLAPPING_S) {
      return;
    }
    cluster.schedule(4, this::submitNextJob);
    Job job =
        cluster.jobs().create(jobs.size() % 2 == 0 ? "red" : "blue", 4, 3, Duration.ofSeconds(12));
    jobs.add(job);
    submittedTasks += job.taskCount();
    cluster.users().submit(job);
  }

  private void flapRepeatedly(double endS) {
    if (cluster.time().seconds() < endS) {
      cluster.schedule(2 * flapDuration.toNanos() / 1e9, () -> flapRepeatedly(endS));
      cluster.currentLeader().ifPresent(this::failLink);
    }
  }

  private void failLink(SimulatedController leader) {
    switch (link) {
      case STATE_REFUSED -> leader.rejectStateStoreRequests(flapDuration);
      case STATE_SILENT -> leader.cutFromStateStore(flapDuration);
      case PEERS -> {
        cluster.setMeshDown(true);
        cluster.time().schedule(flapDuration, () -> cluster.setMeshDown(false));
      }
      case WORKERS -> cluster.cutLeaderFromWorkers(flapDuration);
      case ZONE -> cluster.network().cutZone(cluster.nodeAfter(leader).zone(), flapDuration);
      default -> throw new IllegalStateException(link.name());
    }
  }

  private long term() {
    return cluster.stateStore().value("c/term").path("term").longValue();
  }

  private void countLeaderChanges() {
    cluster.schedule(0.1, this::countLeaderChanges);
    if (term() > term) {
      term = term();
      leaderChanges++;
      recentLeaderChanges.addLast(cluster.time().now());
      while (cluster.time().now().minus(recentLeaderChanges.peekFirst()).compareTo(MINUTE) > 0) {
        recentLeaderChanges.removeFirst();
      }
      maxLeaderChangesPerMinute = Math.max(maxLeaderChangesPerMinute, recentLeaderChanges.size());
    }
  }
}
