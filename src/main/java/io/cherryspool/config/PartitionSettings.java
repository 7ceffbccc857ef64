package io.cherryspool.config;

import java.time.Duration;

/**
 * How nodes handle failing links; see docs/partitions-operations.md.
 *
 * @param dampsFlapping whether flapping links lengthen leaders' leases and delay candidates for
 *     leadership
 * @param flapHalfLife the time in which the penalty for flaps decays by half
 * @param forwardsRequests whether a node that cannot reach the state store forwards users' requests
 *     to another node
 */
public record PartitionSettings(
    boolean dampsFlapping, Duration flapHalfLife, boolean forwardsRequests) {
  /** The settings in use without a file, and the defaults for elements that a file omits. */
  public static final PartitionSettings DEFAULTS =
      new PartitionSettings(true, Duration.ofSeconds(60), true);
}
