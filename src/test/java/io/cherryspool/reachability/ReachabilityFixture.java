package io.cherryspool.reachability;

import java.time.Duration;
import java.util.List;

/** A node's links with the times of a large deployment. */
public final class ReachabilityFixture {
  static final Duration HEARTBEAT = Duration.ofMillis(500);

  static final ReachabilityTimings TIMINGS =
      new ReachabilityTimings(
          HEARTBEAT,
          Duration.ofMillis(5250),
          Duration.ofSeconds(4),
          Duration.ofSeconds(22),
          Duration.ofSeconds(4),
          Duration.ofSeconds(12),
          Duration.ofSeconds(1),
          Duration.ofSeconds(60));

  private ReachabilityFixture() {}

  /** A node whose links nothing was heard of. */
  public static Reachability reachability(String node, List<String> peers) {
    return new Reachability(node, peers, TIMINGS, true, new PartitionRule(TIMINGS));
  }
}
