package io.cherryspool.config;

import java.time.Duration;

/**
 * How nodes bear links that fail, see docs/partitions-operations.md.
 *
 * @param damping whether links that flap make leaders' leases longer and candidates wait
 * @param halfLife in what time the penalty for flaps halves
 * @param forwarding whether a node that the state service does not answer passes users' requests on
 *     to another node
 */
public record PartitionSettings(boolean damping, Duration halfLife, boolean forwarding) {
  public static final PartitionSettings DEFAULTS =
      new PartitionSettings(true, Duration.ofSeconds(60), true);
}
