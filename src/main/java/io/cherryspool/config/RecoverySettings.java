package io.cherryspool.config;

import java.time.Duration;

/**
 * How a cluster that looks for losses of its state recovers.
 *
 * @param gather how long the nodes listen to one another before one of them rebuilds
 */
public record RecoverySettings(Duration gather) {
  public static final RecoverySettings DEFAULTS = new RecoverySettings(Duration.ofMillis(1500));
}
