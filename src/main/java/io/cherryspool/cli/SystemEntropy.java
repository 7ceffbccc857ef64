package io.cherryspool.cli;

import java.io.DataInputStream;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.SecureRandom;

/**
 * Reads random numbers from the operating system, for the id of the process and the seed of its
 * jitter.
 *
 * <p>If the kernel's random device exists, it is read directly. {@link SecureRandom} reads the same
 * device, but loads the security providers first, which a node does not need otherwise.
 */
final class SystemEntropy {
  private static final Path DEVICE = Path.of("/dev/urandom");

  private SystemEntropy() {}

  /** Returns {@code count} random 64-bit numbers. */
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
