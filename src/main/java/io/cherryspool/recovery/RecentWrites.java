package io.cherryspool.recovery;

import io.cherryspool.store.Records;
import io.cherryspool.wire.StateStoreProtocol;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/**
 * The jobs and outcomes that this node has committed and that the replica has not received yet.
 * Their users are answered as soon as they are committed, so they must survive a data loss like the
 * records in the replica. Confined to the event loop.
 */
final class RecentWrites {
  private final Deque<CommittedChange> writes = new ArrayDeque<>();

  private record CommittedChange(StateStoreProtocol.Change change, long revision) {}

  /** Adds the immutable records among changes that were committed at a revision. */
  void add(List<StateStoreProtocol.Change> changes, long revision) {
    for (StateStoreProtocol.Change change : changes) {
      if (change.value() != null && Records.isImmutable(change.key())) {
        writes.add(new CommittedChange(change, revision));
      }
    }
  }

  /** Removes the changes up to a revision, which the replica has reached. */
  void removeUpTo(long revision) {
    writes.removeIf(write -> write.revision <= revision);
  }

  /** Removes all changes. */
  void clear() {
    writes.clear();
  }

  /** Returns a copy of the changes in the order of their commits. */
  List<StateStoreProtocol.Change> changes() {
    List<StateStoreProtocol.Change> result = new ArrayList<>();
    writes.forEach(write -> result.add(write.change));
    return result;
  }
}
