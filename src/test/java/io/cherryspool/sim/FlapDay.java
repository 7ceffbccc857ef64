package io.cherryspool.sim;

import io.cherryspool.model.Job;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/** Two minutes in which one link fails for a while, again and again, while work arrives. */
final class FlapDay {
  private static final double SETTLE = 40;
  private static final double FLAPPING = 120;
  private static final double QUIET = 90;
  private static final Duration MINUTE = Duration.ofSeconds(60);

  private final Cluster cluster;
  private final Link link;
  private final Duration length;
  private final List<Job> jobs = new ArrayList<>();
  private final Deque<Duration> changes = new ArrayDeque<>();
  private long term;
  private int mostInAMinute;
  private int allChanges;
  private int tasks;

  /** What flaps, at whichever node leads then. */
  enum Link {
    /** The state service refuses the leader. */
    STATE_REFUSED,
    /** The state service does not answer the leader; what is sent arrives later. */
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
   * @param changes of the leader, in all
   * @param mostInAMinute of them
   * @param repeated tasks that were started once more
   * @param unserved users' requests that were answered 503, or not at all
   */
  record Cost(int changes, int mostInAMinute, int repeated, int unserved, int added, int deleted) {}

  private FlapDay(long seed, Link link, Duration length) {
    this.cluster = Cluster.of(seed, 3);
    this.link = link;
    this.length = length;
  }

  /** Plays a day on which the link fails for this long, and is well as long; zero for never. */
  static Cost play(long seed, Link link, Duration length) {
    return new FlapDay(seed, link, length).play();
  }

  private Cost play() {
    cluster.after(1, this::arrive);
    cluster.run(SETTLE);
    term = term();
    int added = cluster.cloud().added();
    int deleted = cluster.cloud().deletions();
    int unserved = cluster.users().unserved();
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
            cluster.users().unserved() - unserved,
            cluster.cloud().added() - added,
            cluster.cloud().deletions() - deleted);
    cluster.run(QUIET);
    for (Job job : jobs) {
      if (!cluster.rules().ended(job.id())) {
        throw new AssertionError(job.id() + " has no end");
      }
    }
    return new Cost(
        cost.changes,
        cost.mostInAMinute,
        cluster.rules().starts() - tasks,
        cost.unserved,
        cost.added,
        cost.deleted);
  }

  private void arrive() {
    if (cluster.time().seconds() > SETTLE + FLAPPING) {
      return;
    }
    cluster.after(4, this::arrive);
    Job job = cluster.job(jobs.size() % 2 == 0 ? "red" : "blue", 4, 3, Duration.ofSeconds(12));
    jobs.add(job);
    tasks += job.taskCount();
    cluster.users().submit(job);
  }

  private void flap(double end) {
    if (cluster.time().seconds() < end) {
      cluster.after(2 * length.toNanos() / 1e9, () -> flap(end));
      cluster.leading().ifPresent(this::fail);
    }
  }

  private void fail(ControllerNode leader) {
    switch (link) {
      case STATE_REFUSED -> leader.refuse(length);
      case STATE_SILENT -> leader.cutFromState(length);
      case PEERS -> {
        cluster.refuseMesh(true);
        cluster.time().schedule(length, () -> cluster.refuseMesh(false));
      }
      case WORKERS -> cluster.cutLeaderFromWorkers(length);
      case ZONE -> cluster.net().cutZone(cluster.other(leader).zone(), length);
      default -> throw new IllegalStateException(link.name());
    }
  }

  private long term() {
    return cluster.state().peek("c/term").path("term").longValue();
  }

  private void watch() {
    cluster.after(0.1, this::watch);
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
