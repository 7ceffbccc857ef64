package io.cherryspool.controller.recovery;

import io.cherryspool.recovery.SnapshotStore;
import java.util.concurrent.Executor;

/**
 * Where a node's snapshots go, and what writes them.
 *
 * @param store keeps the snapshot files
 * @param writerExecutor runs the writing, which may block, off the event loop
 */
public record SnapshotTarget(SnapshotStore store, Executor writerExecutor) {}
