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
 * immutable, so they can be written by another thread than the event loop. Must be used by one
 * thread at a time.
 */
public final class SnapshotRepository {
  private static final Logger LOG = LoggerFactory.getLogger(SnapshotRepository.class);

  /** The number of files that are kept, in case the newest one is damaged when it is needed. */
  private static final int MAX_KEPT_FILES = 3;

  private final SnapshotStore store;

  /** Creates a repository of the files in a store. */
  public SnapshotRepository(SnapshotStore store) {
    this.store = store;
  }

  /**
   * The result of a write.
   *
   * @param name the name of the file
   * @param bytes the size of the file, 0 if it was not written
   * @param durationNanos the duration of encoding and writing
   * @param failure why the write failed, empty if it succeeded
   */
  public record WriteResult(String name, int bytes, long durationNanos, Optional<String> failure) {}

  /**
   * Writes a snapshot file and deletes the oldest files. If the write fails, no file is deleted.
   *
   * @param takenAt the wall-clock time at which the records were copied
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
      LOG.error("failed to write snapshot: name={}, store={}: {}", name, store, e.toString());
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

  /**
   * Returns a file name that sorts by incarnation and revision. Both only increase, whereas the
   * wall clock may be set back.
   */
  private static String fileName(RecordsSnapshot records, Instant takenAt) {
    return String.format(
        "%010d-%016d-%d%s",
        records.position().incarnationNumber(),
        records.position().revision(),
        takenAt.toEpochMilli(),
        DirectorySnapshotStore.SUFFIX);
  }

  /**
   * Reads the newest valid snapshot. Returns empty if there is none, and logs each invalid file.
   */
  public Optional<SnapshotFile> readNewest() {
    List<String> names;
    try {
      names = store.names();
    } catch (IOException e) {
      LOG.error("failed to list the snapshots: store={}: {}", store, e.toString());
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
      LOG.error(
          "ignoring invalid snapshot: name={}, fault={}: {}", name, e.fault(), e.getMessage());
    } catch (IOException e) {
      LOG.error("failed to read snapshot: name={}, store={}: {}", name, store, e.toString());
    }
    return Optional.empty();
  }
}
