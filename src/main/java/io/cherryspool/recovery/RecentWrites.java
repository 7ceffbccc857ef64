package io.cherryspool.recovery;

import io.cherryspool.store.Records;
import io.cherryspool.wire.StateStoreProtocol;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/**
 * The jobs and ends that this node has had applied and whose events its copy has not seen yet.
 * Users are told of them at once, so that they must outlive a loss like everything in the copy.
 */
final class RecentWrites {
  private final Deque<Write> writes = new ArrayDeque<>();

  private record Write(StateStoreProtocol.Change change, long revision) {}

  void add(List<StateStoreProtocol.Change> changes, long revision) {
    for (StateStoreProtocol.Change change : changes) {
      if (change.value() != null && Records.isImmutable(change.key())) {
        writes.add(new Write(change, revision));
      }
    }
  }

  /** The copy holds everything up to this revision. */
  void removeUpTo(long revision) {
    writes.removeIf(write -> write.revision <= revision);
  }

  void clear() {
    writes.clear();
  }

  List<StateStoreProtocol.Change> all() {
    List<StateStoreProtocol.Change> result = new ArrayList<>();
    writes.forEach(write -> result.add(write.change));
    return result;
  }
}
