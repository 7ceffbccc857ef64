package io.cherryspool.recovery;

import io.cherryspool.store.RecordsSnapshot;
import java.io.IOException;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Writes snapshot files into a store and finds the newest valid one. Records snapshots are
 * immutable, so that writing one may be done on another thread while the event loop goes on. Used
 * from one thread at a time.
 */
public final class SnapshotRepository {
  private static final Logger LOG = LoggerFactory.getLogger(SnapshotRepository.class);

  /** The newest may turn out to be damaged when it is needed. */
  private static final int MAX_KEPT_FILES = 3;

  private final SnapshotStore store;

  /** A repository of the files in the store. */
  public SnapshotRepository(SnapshotStore store) {
    this.store = store;
  }

  /**
   * How a write ended.
   *
   * @param name the name of the file
   * @param bytes its size, 0 if it was not written
   * @param durationNanos how long encoding and writing took
   * @param failure why it was not written, empty if it was
   */
  public record WriteResult(String name, int bytes, long durationNanos, Optional<String> failure) {}

  /**
   * Writes a snapshot file and deletes the oldest ones; a failure leaves those that are there.
   *
   * @param takenAt the time of day at which the records were as they are here
   */
  public WriteResult write(RecordsSnapshot records, Instant takenAt) {
    long startedAtNanos = System.nanoTime();
    String name = fileName(records, takenAt);
    try {
      byte[] bytes = new SnapshotFile(records, takenAt).encode();
      store.write(name, bytes);
      deleteOldest();
      return new WriteResult(
          name, bytes.length, System.nanoTime() - startedAtNanos, Optional.empty());
    } catch (IOException | RuntimeException e) {
      LOG.error("writing a snapshot failed: name={}, store={}: {}", name, store, e.toString());
      return new WriteResult(
          name, 0, System.nanoTime() - startedAtNanos, Optional.of(e.toString()));
    }
  }

  private void deleteOldest() throws IOException {
    List<String> names = store.names();
    for (int i = MAX_KEPT_FILES; i < names.size(); i++) {
      store.delete(names.get(i));
    }
  }

  /** Sorts by incarnation and revision, which only grow; the time of day may be set back. */
  private static String fileName(RecordsSnapshot records, Instant takenAt) {
    return String.format(
        "%010d-%016d-%d%s",
        records.position().incarnationNumber(),
        records.position().revision(),
        takenAt.toEpochMilli(),
        DirectorySnapshotStore.SUFFIX);
  }

  /** The newest valid snapshot, empty if there is none; each invalid one is named in the log. */
  public Optional<SnapshotFile> readNewest() {
    List<String> names;
    try {
      names = store.names();
    } catch (IOException e) {
      LOG.error("listing the snapshots failed: store={}: {}", store, e.toString());
      return Optional.empty();
    }
    for (String name : names) {
      Optional<SnapshotFile> found = read(name);
      if (found.isPresent()) {
        return found;
      }
    }
    return Optional.empty();
  }

  private Optional<SnapshotFile> read(String name) {
    try {
      SnapshotFile found = SnapshotFile.decode(store.read(name));
      LOG.info(
          "snapshot loaded: name={}, jobs={}, incarnation={}, revision={}",
          name,
          found.records().jobs().size(),
          found.records().position().incarnationNumber(),
          found.records().position().revision());
      return Optional.of(found);
    } catch (SnapshotFile.InvalidSnapshotException e) {
      LOG.error("snapshot not used: name={}, fault={}: {}", name, e.fault(), e.getMessage());
    } catch (IOException e) {
      LOG.error("reading a snapshot failed: name={}: {}", name, e.toString());
    }
    return Optional.empty();
  }
}
