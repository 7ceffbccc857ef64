package io.cherryspool.config;

import java.nio.file.Path;
import java.time.Duration;
import java.util.Optional;
import java.util.Set;

/**
 * How a cluster that looks for losses of its state recovers.
 *
 * @param gatherDuration how long the nodes listen to one another before one of them rebuilds
 * @param snapshotDirectory where each node keeps its snapshots, in a folder of its own name
 * @param snapshotInterval how often it takes one
 * @param heldClasses classes of which no task that may have ended unseen is run again before an
 *     operator says so
 */
public record RecoverySettings(
    Duration gatherDuration,
    Optional<Path> snapshotDirectory,
    Duration snapshotInterval,
    Set<String> heldClasses) {
  public static final RecoverySettings DEFAULTS =
      new RecoverySettings(
          Duration.ofMillis(1500), Optional.empty(), Duration.ofSeconds(30), Set.of());
}
