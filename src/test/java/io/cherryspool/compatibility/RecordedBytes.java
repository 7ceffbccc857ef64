package io.cherryspool.compatibility;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;

import com.fasterxml.jackson.databind.JsonNode;
import io.cherryspool.http.Request;
import io.cherryspool.wire.Json;
import io.cherryspool.wire.MalformedMessageException;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * The bytes of stored records and messages as version 0.1.0 wrote them. Nodes of two versions run
 * side by side during an upgrade of a cluster, and a later version reads what an earlier one
 * stored, so these formats must not change.
 *
 * <p>Bundles and snapshots are compressed, so their bytes also depend on the JDK's zlib. A JDK with
 * another zlib may write different bytes, which every version can still read.
 *
 * <p>If the system property {@code compatibility.record} is set, a missing file is written before
 * it is compared, which serves to record a new format. An existing file is never overwritten.
 */
public final class RecordedBytes {
  private static final String FOLDER = "/compatibility/";
  private static final Path SOURCES = Path.of("src", "test", "resources", "compatibility");
  private static final boolean RECORDING = Boolean.getBoolean("compatibility.record");

  private RecordedBytes() {}

  /** Returns the recorded bytes; fails the test if there are none. */
  public static byte[] read(String name) {
    try (InputStream in = RecordedBytes.class.getResourceAsStream(FOLDER + name)) {
      if (in == null && RECORDING) {
        return Files.readAllBytes(SOURCES.resolve(name));
      }
      assertNotNull(in, "no recorded bytes with the name " + name);
      return in.readAllBytes();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Returns the recorded JSON object. */
  public static JsonNode readJson(String name) throws MalformedMessageException {
    return Json.parseObject(read(name));
  }

  /**
   * Fails unless the bytes equal the recorded ones. Text files are first compared as text, which
   * gives a readable failure message.
   */
  public static void assertRecorded(String name, byte[] written) {
    record(name, written);
    byte[] recorded = read(name);
    if (name.endsWith(".json") || name.endsWith(".http")) {
      assertEquals(
          new String(recorded, StandardCharsets.UTF_8),
          new String(written, StandardCharsets.UTF_8),
          name);
    }
    assertArrayEquals(recorded, written, name);
  }

  /** Fails unless the encoded JSON equals the recorded bytes. */
  public static void assertRecorded(String name, JsonNode written) {
    assertRecorded(name, Json.toBytes(written));
  }

  /**
   * Fails unless the request equals the recorded one. A request is recorded as its method and
   * target on one line, followed by its body.
   */
  public static void assertRecorded(String name, Request written) {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    String line = written.method() + " " + written.target() + "\n";
    bytes.writeBytes(line.getBytes(StandardCharsets.UTF_8));
    bytes.writeBytes(written.body());
    assertRecorded(name, bytes.toByteArray());
  }

  private static void record(String name, byte[] written) {
    Path file = SOURCES.resolve(name);
    if (RECORDING && !Files.exists(file)) {
      try {
        Files.createDirectories(SOURCES);
        Files.write(file, written);
      } catch (IOException e) {
        throw new UncheckedIOException(e);
      }
    }
  }
}
