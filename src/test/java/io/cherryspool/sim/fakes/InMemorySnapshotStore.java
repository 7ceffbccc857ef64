package io.cherryspool.sim.fakes;

import io.cherryspool.recovery.SnapshotStore;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.TreeMap;

/**
 * A snapshot store in memory that outlives the processes of its node. Tests can make it lose or
 * corrupt files.
 */
public final class InMemorySnapshotStore implements SnapshotStore {
  private boolean dropsWrites;
  private final TreeMap<String, byte[]> files = new TreeMap<>();

  @Override
  public void write(String name, byte[] bytes) {
    if (!dropsWrites) {
      files.put(name, bytes);
    }
  }

  @Override
  public List<String> names() {
    return new ArrayList<>(files.descendingKeySet());
  }

  @Override
  public byte[] read(String name) throws IOException {
    byte[] bytes = files.get(name);
    if (bytes == null) {
      throw new IOException("no such file: " + name);
    }
    return bytes;
  }

  @Override
  public void delete(String name) {
    files.remove(name);
  }

  /** From now on discards all written files. */
  public void dropWrites() {
    dropsWrites = true;
  }

  /** Deletes all files. */
  public void deleteAll() {
    files.clear();
  }

  /** Removes the second half of the newest file. */
  public void truncateNewest() {
    byte[] completeBytes = files.lastEntry().getValue();
    files.put(files.lastKey(), Arrays.copyOf(completeBytes, completeBytes.length / 2));
  }
}
