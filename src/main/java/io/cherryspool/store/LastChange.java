package io.cherryspool.store;

import com.fasterxml.jackson.databind.JsonNode;
import io.cherryspool.wire.StateStoreProtocol;
import java.util.Objects;

/**
 * The last change that a copy has applied. A read of changes that covers it has to show it, or a
 * later one of the same key. Revisions alone don't prove that: after the state store was set back a
 * little, a node that retains no records may write until they have passed those that others know.
 */
record LastChange(String key, long version, JsonNode value) {

  LastChange(StateStoreProtocol.Event event) {
    this(event.key(), event.version(), event.value());
  }

  /** The revision after which to read, to see this change and everything after {@code revision}. */
  long readFrom(long revision) {
    return Math.min(revision, version - 1);
  }

  /** Whether the changes show this one, or a later one of the same key. */
  boolean isIn(StateStoreProtocol.WatchResult changes) {
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
