package io.cherryspool.recovery;

import io.cherryspool.store.RecordsSnapshot;
import java.io.IOException;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Takes snapshots into a store and finds the newest good one. The picture is immutable, so that
 * writing it needs no pause of anything else and may be done on another thread.
 */
public final class SnapshotRepository {
  private static final Logger LOG = LoggerFactory.getLogger(SnapshotRepository.class);

  /** The newest may turn out to be damaged when it is needed. */
  private static final int KEPT = 3;

  private final SnapshotStore store;

  public SnapshotRepository(SnapshotStore store) {
    this.store = store;
  }

  /** What a snapshot cost, or why there is none; empty if there is one. */
  public record WriteResult(String name, int bytes, long durationNanos, Optional<String> failure) {}

  /** Writes a snapshot and drops the oldest; a failure leaves those that are there. */
  public WriteResult write(RecordsSnapshot picture, Instant now) {
    long begun = System.nanoTime();
    String name = name(picture, now);
    try {
      byte[] bytes = new SnapshotFile(picture, now).encode();
      store.write(name, bytes);
      List<String> names = store.names();
      for (int i = KEPT; i < names.size(); i++) {
        store.delete(names.get(i));
      }
      return new WriteResult(name, bytes.length, System.nanoTime() - begun, Optional.empty());
    } catch (IOException | RuntimeException e) {
      LOG.error("snapshot {} can't be written to {}: {}", name, store, e.toString());
      return new WriteResult(name, 0, System.nanoTime() - begun, Optional.of(e.toString()));
    }
  }

  /** By incarnation and revision, which only grow; the time of day may be set back. */
  private static String name(RecordsSnapshot picture, Instant now) {
    return String.format(
        "%010d-%016d-%d%s",
        picture.position().incarnationNumber(),
        picture.position().revision(),
        now.toEpochMilli(),
        DirectorySnapshotStore.SUFFIX);
  }

  /** The newest snapshot that is good; each that is not is named in the log. */
  public Optional<SnapshotFile> readNewest() {
    List<String> names;
    try {
      names = store.names();
    } catch (IOException e) {
      LOG.error("the snapshots in {} can't be listed: {}", store, e.toString());
      return Optional.empty();
    }
    for (String name : names) {
      try {
        SnapshotFile found = SnapshotFile.decode(store.read(name));
        LOG.info(
            "snapshot {}: {} jobs up to incarnation {} revision {}",
            name,
            found.records().jobs().size(),
            found.records().position().incarnationNumber(),
            found.records().position().revision());
        return Optional.of(found);
      } catch (SnapshotFile.InvalidSnapshotException e) {
        LOG.error("snapshot {} is not used: {}: {}", name, e.fault(), e.getMessage());
      } catch (IOException e) {
        LOG.error("snapshot {} can't be read: {}", name, e.toString());
      }
    }
    return Optional.empty();
  }
}
