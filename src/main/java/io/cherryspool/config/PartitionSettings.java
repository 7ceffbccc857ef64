package io.cherryspool.config;

import java.time.Duration;

/**
 * What nodes do about links that fail, see docs/partitions-operations.md.
 *
 * @param dampsFlapping whether links that flap lengthen leaders' leases and delay candidates
 * @param flapHalfLife in what time the penalty for flaps halves
 * @param forwardsRequests whether a node that can't reach the state store forwards users' requests
 *     to another node
 */
public record PartitionSettings(
    boolean dampsFlapping, Duration flapHalfLife, boolean forwardsRequests) {
  /** What holds without a file. */
  public static final PartitionSettings DEFAULTS =
      new PartitionSettings(true, Duration.ofSeconds(60), true);
}
