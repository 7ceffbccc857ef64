package io.cherryspool.config;

import java.nio.file.Path;
import java.time.Duration;
import java.util.Optional;
import java.util.Set;

/**
 * How a cluster that looks for losses of its state recovers, see docs/recovery-operations.md.
 *
 * @param gatherDuration how long nodes exchange what they retain before one of them rebuilds
 * @param snapshotDirectory where each node keeps its snapshots, in a directory of its own name;
 *     empty if it keeps none
 * @param snapshotInterval how often a node takes a snapshot
 * @param heldJobClasses the classes whose tasks are not run again, if they may have ended
 *     unnoticed, until an operator decides
 */
public record RecoverySettings(
    Duration gatherDuration,
    Optional<Path> snapshotDirectory,
    Duration snapshotInterval,
    Set<String> heldJobClasses) {
  /** What holds for elements that a file with recovery switched on leaves out. */
  public static final RecoverySettings DEFAULTS =
      new RecoverySettings(
          Duration.ofMillis(1500), Optional.empty(), Duration.ofSeconds(30), Set.of());
}
