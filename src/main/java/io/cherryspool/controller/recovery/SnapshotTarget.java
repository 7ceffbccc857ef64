package io.cherryspool.controller.recovery;

import io.cherryspool.recovery.SnapshotStore;
import java.util.concurrent.Executor;

/**
 * The place where a node's snapshots are kept, and the executor that writes them.
 *
 * @param store keeps the snapshot files
 * @param writerExecutor writes snapshots outside the event loop, because writing may block
 */
public record SnapshotTarget(SnapshotStore store, Executor writerExecutor) {}
