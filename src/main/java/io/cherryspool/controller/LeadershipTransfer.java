package io.cherryspool.controller;

import io.cherryspool.mesh.Mesh;
import io.cherryspool.model.Durations;
import java.time.Duration;
import java.util.List;

/**
 * Tells when a leader should make way. One that loses its workers, but neither the state service
 * nor the other nodes, would stay leader while its workers go round the nodes, are sent back to it
 * each time, and lose all their tasks when their leases run out. The others hear those workers, and
 * say so.
 *
 * <p>Both must agree: many machines have stopped reporting here, and about as many come to the
 * others. Machines that died, hang or are cut off with their zone come to nobody.
 */
final class LeadershipTransfer {
  /** Fewer than these, or a smaller part of the fleet, are worth no change of the leader. */
  private static final int LEAST = 3;

  private static final int PART = 6;

  /** No node's name. */
  static final String ANYBODY = "";

  private final Timings timings;
  private final Duration period;
  private final Peers peers;
  private Duration lastTick;
  private Duration steadySince = Duration.ZERO;

  /**
   * @param period how often the nodes send heartbeats
   */
  LeadershipTransfer(Peers peers, Timings timings, Duration period) {
    this.peers = peers;
    this.timings = timings;
    this.period = period;
  }

  /**
   * Reports that were late because this node stood still, or is behind, are nobody's absence, nor
   * are those that it could not answer: after an outage of the state service all workers come from
   * the other nodes at once.
   *
   * <p>Nor are those that a busy node answers too late, so that their workers go round the others.
   * The next leader is no larger, and has the take-over to pay besides: three controllers with 7.6%
   * of a core handed their work on every 10 to 20 s and lost thousands of tasks. A leader that its
   * workers do not reach has little to do.
   *
   * @param acting whether this node leads and may answer reports
   */
  void tick(Duration now, boolean acting) {
    Duration behind = lastTick == null ? period : now.minus(lastTick).minus(period);
    if (behind.compareTo(Durations.part(period, 2)) > 0 || !acting) {
      steadySince = now;
    }
    lastTick = now;
  }

  /**
   * The node to make way for, {@link #ANYBODY} if it is not known which, or null. A leader that
   * hears of no other node can't know where its workers are; if it misses half of them, any other
   * node is the better guess.
   */
  String successor(LeaderTerm.Reach reach, Duration now) {
    Duration calm = Durations.times(timings.late(), 2);
    if (reach.lost() < LEAST
        || reach.lost() * PART < reach.known()
        || now.minus(steadySince).compareTo(calm) < 0) {
      return null;
    }
    List<Mesh.Heartbeat> heartbeats = peers.since(Durations.times(period, 3), now);
    if (heartbeats.isEmpty()) {
      return reach.lost() * 2 >= reach.known() && peers.known() ? ANYBODY : null;
    }
    Mesh.Heartbeat best = null;
    int redirectedWorkers = 0;
    for (Mesh.Heartbeat heartbeat : heartbeats) {
      if (heartbeat.state() && heartbeat.redirectedWorkers() > 0) {
        redirectedWorkers += heartbeat.redirectedWorkers();
        best =
            best == null || heartbeat.redirectedWorkers() > best.redirectedWorkers()
                ? heartbeat
                : best;
      }
    }
    return redirectedWorkers * 2 >= reach.lost() && best != null ? best.node() : null;
  }
}
