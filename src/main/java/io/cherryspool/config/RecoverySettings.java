package io.cherryspool.config;

import java.nio.file.Path;
import java.time.Duration;
import java.util.Optional;
import java.util.Set;

/**
 * How a cluster recovers from a loss of its state; see docs/recovery-operations.md.
 *
 * @param gatherDuration how long nodes exchange their retained records before one of them rebuilds
 *     the state
 * @param snapshotDirectory the directory in which each node stores its snapshots, in a subdirectory
 *     with the node's name; empty if nodes store no snapshots
 * @param snapshotInterval the time between two snapshots of a node
 * @param heldJobClasses the job classes whose jobs are held for an operator's decision if some of
 *     their tasks may have ended unobserved; no task of a held job is run again
 */
public record RecoverySettings(
    Duration gatherDuration,
    Optional<Path> snapshotDirectory,
    Duration snapshotInterval,
    Set<String> heldJobClasses) {
  /** The defaults for elements that a file omits, if the file enables recovery. */
  public static final RecoverySettings DEFAULTS =
      new RecoverySettings(
          Duration.ofMillis(1500), Optional.empty(), Duration.ofSeconds(30), Set.of());
}
