package io.cherryspool.recovery;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Stores snapshots as files in one directory. A file is written under a temporary name, synced to
 * the disk and renamed, so that a file with a snapshot's name is never incomplete. The directory is
 * synced as well. The methods block and must be called by one thread at a time.
 */
public final class DirectorySnapshotStore implements SnapshotStore {
  /** The suffix of the names of snapshots. */
  public static final String SUFFIX = ".snapshot";

  /** The suffix of the names of files that are being written. */
  private static final String UNFINISHED_SUFFIX = ".part";

  private final Path directory;

  /**
   * Creates a store in this directory. The first write creates the directory if it does not exist.
   */
  public DirectorySnapshotStore(Path directory) {
    this.directory = directory;
  }

  @Override
  public void write(String name, byte[] bytes) throws IOException {
    Files.createDirectories(directory);
    Path unfinished = directory.resolve(name + UNFINISHED_SUFFIX);
    try (FileChannel file =
        FileChannel.open(
            unfinished,
            StandardOpenOption.CREATE,
            StandardOpenOption.TRUNCATE_EXISTING,
            StandardOpenOption.WRITE)) {
      ByteBuffer buffer = ByteBuffer.wrap(bytes);
      while (buffer.hasRemaining()) {
        file.write(buffer);
      }
      file.force(true);
    }
    Files.move(unfinished, directory.resolve(name), StandardCopyOption.ATOMIC_MOVE);
    try (FileChannel entries = FileChannel.open(directory, StandardOpenOption.READ)) {
      entries.force(true);
    }
  }

  @Override
  public List<String> names() throws IOException {
    List<String> names = new ArrayList<>();
    if (Files.isDirectory(directory)) {
      try (DirectoryStream<Path> files = Files.newDirectoryStream(directory, "*" + SUFFIX)) {
        files.forEach(file -> names.add(file.getFileName().toString()));
      }
    }
    names.sort(Comparator.reverseOrder());
    return names;
  }

  @Override
  public byte[] read(String name) throws IOException {
    return Files.readAllBytes(directory.resolve(name));
  }

  @Override
  public void delete(String name) throws IOException {
    Files.deleteIfExists(directory.resolve(name));
  }

  @Override
  public String toString() {
    return directory.toString();
  }
}
