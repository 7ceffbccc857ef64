package io.cherryspool.recovery;

import io.cherryspool.store.Records;
import io.cherryspool.wire.StateStoreProtocol;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/**
 * The jobs and outcomes that this node has committed and whose events the replica has not received
 * yet. Users are answered at once, so that these must outlive a loss like all that the replica
 * holds. Confined to the event loop.
 */
final class RecentWrites {
  private final Deque<Write> writes = new ArrayDeque<>();

  private record Write(StateStoreProtocol.Change change, long revision) {}

  /** Adds those of the changes, committed at a revision, that are never changed again. */
  void add(List<StateStoreProtocol.Change> changes, long revision) {
    for (StateStoreProtocol.Change change : changes) {
      if (change.value() != null && Records.isImmutable(change.key())) {
        writes.add(new Write(change, revision));
      }
    }
  }

  /** Drops what the replica holds, which has reached this revision. */
  void removeUpTo(long revision) {
    writes.removeIf(write -> write.revision <= revision);
  }

  /** Drops all. */
  void clear() {
    writes.clear();
  }

  /** A copy of the changes, in the order of their commits. */
  List<StateStoreProtocol.Change> all() {
    List<StateStoreProtocol.Change> result = new ArrayList<>();
    writes.forEach(write -> result.add(write.change));
    return result;
  }
}
