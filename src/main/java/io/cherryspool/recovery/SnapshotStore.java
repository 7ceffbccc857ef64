package io.cherryspool.recovery;

import java.io.IOException;
import java.util.List;

/**
 * Where a node keeps its snapshots, so that they outlive its process. Names sort by age. Used from
 * one thread at a time.
 */
public interface SnapshotStore {
  /** Keeps the bytes under the name as a whole, or not at all. */
  void write(String name, byte[] bytes) throws IOException;

  /** The names kept, the newest first. */
  List<String> names() throws IOException;

  byte[] read(String name) throws IOException;

  void delete(String name) throws IOException;
}
