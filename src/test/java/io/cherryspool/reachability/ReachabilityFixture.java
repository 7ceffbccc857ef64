package io.cherryspool.reachability;

import java.time.Duration;
import java.util.List;

/**
 * Creates the links of a node with the timings of a large deployment, and fleets that the node may
 * observe.
 */
public final class ReachabilityFixture {
  static final Duration HEARTBEAT_INTERVAL = Duration.ofMillis(500);

  static final ReachabilityTimings TIMINGS =
      new ReachabilityTimings(
          HEARTBEAT_INTERVAL,
          Duration.ofMillis(5250),
          Duration.ofSeconds(4),
          Duration.ofSeconds(22),
          Duration.ofSeconds(4),
          Duration.ofSeconds(12),
          Duration.ofSeconds(1),
          Duration.ofSeconds(60));

  private ReachabilityFixture() {}

  /** Creates the links of a node that has observed nothing yet. */
  public static Reachability reachability(String node, List<String> peers) {
    return new Reachability(node, peers, TIMINGS, true, new PartitionRule(TIMINGS));
  }

  /**
   * Creates a fleet with one zone for each argument. Each zone has ten listed machines, of which
   * the given number are silent.
   */
  static FleetReachability fleet(int... silentOfTen) {
    FleetReachability.Builder machines = new FleetReachability.Builder();
    for (int zone = 0; zone < silentOfTen.length; zone++) {
      for (int i = 0; i < 10; i++) {
        ContactState contact = i < silentOfTen[zone] ? ContactState.SILENT : ContactState.REACHABLE;
        machines.addMachine("zone-" + zone, true, contact);
      }
    }
    return machines.build();
  }
}
