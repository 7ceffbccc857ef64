package io.cherryspool.recovery;

import java.io.IOException;
import java.util.List;

/**
 * Persistent storage for the snapshot files of a node. The names of the files sort by age. Must be
 * used by one thread at a time.
 */
public interface SnapshotStore {
  /**
   * Stores a file atomically: either completely or not at all.
   *
   * @throws IOException if the file can't be stored
   */
  void write(String name, byte[] bytes) throws IOException;

  /**
   * Returns the names of the stored files, the newest first; empty if there are none.
   *
   * @throws IOException if the names can't be read
   */
  List<String> names() throws IOException;

  /**
   * Returns the content of a file.
   *
   * @throws IOException if there is no file with this name or it can't be read
   */
  byte[] read(String name) throws IOException;

  /**
   * Deletes a file if it exists.
   *
   * @throws IOException if the file can't be deleted
   */
  void delete(String name) throws IOException;
}
