package io.cherryspool.cli;

import java.io.DataInputStream;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.SecureRandom;

/**
 * Random numbers from the operating system, for a process's id and the seed of its jitter.
 *
 * <p>The kernel's device is read directly where there is one: it is what {@link SecureRandom} reads
 * too, but that first loads the security providers, which a node needs for nothing else.
 */
final class SystemEntropy {
  private static final Path DEVICE = Path.of("/dev/urandom");

  private SystemEntropy() {}

  /** Reads {@code count} random numbers, each of all 64 bits. */
  static long[] read(int count) {
    long[] numbers = new long[count];
    try (DataInputStream device = new DataInputStream(Files.newInputStream(DEVICE))) {
      for (int i = 0; i < count; i++) {
        numbers[i] = device.readLong();
      }
    } catch (IOException e) {
      return new SecureRandom().longs(count).toArray();
    }
    return numbers;
  }
}
