package io.cherryspool.recovery;

import java.io.IOException;
import java.util.List;

/**
 * Where a node keeps its snapshot files, so that they outlive its process. Names sort by age. Used
 * from one thread at a time.
 */
public interface SnapshotStore {
  /**
   * Keeps the bytes under the name as a whole, or not at all.
   *
   * @throws IOException if they can't be kept
   */
  void write(String name, byte[] bytes) throws IOException;

  /**
   * The names of the snapshots kept, the newest first; empty if there are none.
   *
   * @throws IOException if the names can't be read
   */
  List<String> names() throws IOException;

  /**
   * The bytes of a snapshot.
   *
   * @throws IOException if there is none of this name, or it can't be read
   */
  byte[] read(String name) throws IOException;

  /**
   * Deletes a snapshot, if it is there.
   *
   * @throws IOException if it can't be deleted
   */
  void delete(String name) throws IOException;
}
