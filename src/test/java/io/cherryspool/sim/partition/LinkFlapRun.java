package io.cherryspool.sim.partition;

import io.cherryspool.model.Job;
import io.cherryspool.sim.cluster.SimulatedCluster;
import io.cherryspool.sim.cluster.SimulatedController;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/** Two minutes in which one link fails for a while, again and again, while work arrives. */
public final class LinkFlapRun {
  private static final double SETTLE = 40;
  private static final double FLAPPING = 120;
  private static final double QUIET = 90;
  private static final Duration MINUTE = Duration.ofSeconds(60);

  private final SimulatedCluster cluster;
  private final Link link;
  private final Duration length;
  private final List<Job> jobs = new ArrayList<>();
  private final Deque<Duration> changes = new ArrayDeque<>();
  private long term;
  private int mostInAMinute;
  private int allChanges;
  private int tasks;

  /** What flaps, at whichever node leads then. */
  public enum Link {
    /** The state store refuses the leader. */
    STATE_REFUSED,
    /** The state store does not answer the leader; what is sent arrives later. */
    STATE_SILENT,
    /** No heartbeat goes between any nodes. */
    PEERS,
    /** The leader and its workers do not reach one another. */
    WORKERS,
    /** A zone and all others do not reach one another. */
    ZONE
  }

  /**
   * What the flaps cost.
   *
   * @param leaderChanges of the leader, in all
   * @param maxLeaderChangesPerMinute of them
   * @param repeatedTaskStarts tasks that were started once more
   * @param unservedRequests users' requests that were answered 503, or not at all
   */
  public record Cost(
      int leaderChanges,
      int maxLeaderChangesPerMinute,
      int repeatedTaskStarts,
      int unservedRequests,
      int addedMachines,
      int deletedMachines) {}

  private LinkFlapRun(long seed, Link link, Duration length) {
    this.cluster = SimulatedCluster.of(seed, 3);
    this.link = link;
    this.length = length;
  }

  /** Plays a day on which the link fails for this long, and is well as long; zero for never. */
  public static Cost run(long seed, Link link, Duration length) {
    return new LinkFlapRun(seed, link, length).run();
  }

  private Cost run() {
    cluster.schedule(1, this::arrive);
    cluster.run(SETTLE);
    term = term();
    int added = cluster.cloud().addedMachineCount();
    int deleted = cluster.cloud().deletedMachineCount();
    int unserved = cluster.users().unservedRequests();
    if (!length.isZero()) {
      flap(SETTLE + FLAPPING);
    }
    watch();
    cluster.run(FLAPPING);
    Cost cost =
        new Cost(
            allChanges,
            mostInAMinute,
            0,
            cluster.users().unservedRequests() - unserved,
            cluster.cloud().addedMachineCount() - added,
            cluster.cloud().deletedMachineCount() - deleted);
    cluster.run(QUIET);
    for (Job job : jobs) {
      if (!cluster.rules().hasEnded(job.id())) {
        throw new AssertionError(job.id() + " has no end");
      }
    }
    return new Cost(
        cost.leaderChanges,
        cost.maxLeaderChangesPerMinute,
        cluster.rules().startCount() - tasks,
        cost.unservedRequests,
        cost.addedMachines,
        cost.deletedMachines);
  }

  private void arrive() {
    if (cluster.time().seconds() > SETTLE + FLAPPING) {
      return;
    }
    cluster.schedule(4, this::arrive);
    Job job =
        cluster.jobs().create(jobs.size() % 2 == 0 ? "red" : "blue", 4, 3, Duration.ofSeconds(12));
    jobs.add(job);
    tasks += job.taskCount();
    cluster.users().submit(job);
  }

  private void flap(double end) {
    if (cluster.time().seconds() < end) {
      cluster.schedule(2 * length.toNanos() / 1e9, () -> flap(end));
      cluster.currentLeader().ifPresent(this::fail);
    }
  }

  private void fail(SimulatedController leader) {
    switch (link) {
      case STATE_REFUSED -> leader.rejectStateStoreRequests(length);
      case STATE_SILENT -> leader.cutFromStateStore(length);
      case PEERS -> {
        cluster.setMeshDown(true);
        cluster.time().schedule(length, () -> cluster.setMeshDown(false));
      }
      case WORKERS -> cluster.cutLeaderFromWorkers(length);
      case ZONE -> cluster.network().cutZone(cluster.nodeAfter(leader).zone(), length);
      default -> throw new IllegalStateException(link.name());
    }
  }

  private long term() {
    return cluster.stateStore().value("c/term").path("term").longValue();
  }

  private void watch() {
    cluster.schedule(0.1, this::watch);
    if (term() > term) {
      term = term();
      allChanges++;
      changes.addLast(cluster.time().now());
      while (cluster.time().now().minus(changes.peekFirst()).compareTo(MINUTE) > 0) {
        changes.removeFirst();
      }
      mostInAMinute = Math.max(mostInAMinute, changes.size());
    }
  }
}
