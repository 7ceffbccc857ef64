/**
 * Detects that the state store has lost data, and rebuilds the records from the nodes' replicas,
 * from snapshot files and from the records that the state store still contains. docs/recovery.md
 * explains the reasons for the design.
 *
 * <p>{@link io.cherryspool.recovery.Recovery} is the controller's entry point to the detection and
 * the rebuild. It connects the phase of the node ({@code RecoveryState}), the detection of a loss
 * ({@code LossDetector}), the decision about what to do next ({@code IncarnationMonitor}, {@code
 * RebuildElection}), the rebuild ({@code Rebuilder}) and the contribution of this node's last
 * writes to other nodes' rebuilds ({@code Contributions}). {@link
 * io.cherryspool.recovery.SnapshotWriter} and {@link io.cherryspool.recovery.SnapshotRepository}
 * write and read snapshot files.
 *
 * <p>Threading: all code of this package runs on the event loop, except for reading and writing
 * snapshot files.
 */
package io.cherryspool.recovery;
