package io.cherryspool.store;

import com.fasterxml.jackson.databind.JsonNode;
import io.cherryspool.wire.StateStoreProtocol;
import java.util.Objects;

/**
 * The last change that a replica has applied. A read of changes that starts before it must contain
 * it or a later change of the same key; otherwise the state store has lost data. Comparing
 * revisions does not suffice: after the state store was rolled back by a few revisions, a node that
 * retains no records may write until the revision is higher than the ones that other nodes know.
 */
record LastChange(String key, long version, JsonNode value) {

  LastChange(StateStoreProtocol.Event event) {
    this(event.key(), event.version(), event.value());
  }

  /**
   * Returns the revision after which to read, so that the answer contains this change and all
   * changes after {@code revision}.
   */
  long revisionToReadAfter(long revision) {
    return Math.min(revision, version - 1);
  }

  /** Whether the changes include this one or a later change of the same key. */
  boolean isIncludedIn(StateStoreProtocol.WatchResult changes) {
    for (StateStoreProtocol.Event event : changes.events()) {
      if (event.key().equals(key)) {
        if (event.version() > version) {
          return true;
        }
        if (event.version() == version && Objects.equals(event.value(), value)) {
          return true;
        }
      }
    }
    return false;
  }

  @Override
  public String toString() {
    return key + " at revision " + version;
  }
}
