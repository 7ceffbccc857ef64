package io.cherryspool.sim.fakes;

import io.cherryspool.recovery.SnapshotStore;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.TreeMap;

/** A disk that outlives the processes of its node; it can be broken. */
public final class InMemorySnapshotStore implements SnapshotStore {
  private boolean frozen;
  private final TreeMap<String, byte[]> files = new TreeMap<>();

  @Override
  public void write(String name, byte[] bytes) {
    if (!frozen) {
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
      throw new IOException("no file " + name);
    }
    return bytes;
  }

  @Override
  public void delete(String name) {
    files.remove(name);
  }

  /** What is written from now on is lost. */
  public void dropWrites() {
    frozen = true;
  }

  /** Loses all files. */
  public void deleteAll() {
    files.clear();
  }

  /** The newest file loses its second half. */
  public void truncateNewest() {
    byte[] whole = files.lastEntry().getValue();
    files.put(files.lastKey(), Arrays.copyOf(whole, whole.length / 2));
  }
}
