package io.cherryspool.config;

import java.time.Duration;

/**
 * How nodes bear links that fail, see docs/partitions-operations.md.
 *
 * @param dampsFlapping whether links that flap make leaders' leases longer and candidates wait
 * @param flapHalfLife in what time the penalty for flaps halves
 * @param forwardsRequests whether a node that the state service does not answer passes users'
 *     requests on to another node
 */
public record PartitionSettings(
    boolean dampsFlapping, Duration flapHalfLife, boolean forwardsRequests) {
  public static final PartitionSettings DEFAULTS =
      new PartitionSettings(true, Duration.ofSeconds(60), true);
}
