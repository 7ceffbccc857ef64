/**
 * Detects that the state store has lost its data, and rebuilds the records from what the nodes
 * retain, what is left in the store, and snapshot files; docs/recovery.md has the reasons.
 *
 * <p>{@link io.cherryspool.recovery.Recovery} is the whole interface to the controller. It wires
 * the phase of the node ({@code RecoveryState}), the detection of a loss ({@code LossDetector}),
 * the decision on what follows ({@code IncarnationMonitor}, {@code RebuildElection}), the rebuild
 * ({@code Rebuilder}) and the last writes of the other nodes ({@code Contributions}). {@link
 * io.cherryspool.recovery.SnapshotWriter} and {@link io.cherryspool.recovery.SnapshotRepository}
 * keep snapshot files.
 *
 * <p>Threading: confined to the event loop, but for the reading and writing of snapshot files.
 */
package io.cherryspool.recovery;
