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
 * Bytes of stored records and messages as version 0.1.0 wrote them. Nodes of two versions serve
 * side by side while a cluster is upgraded, and a later version reads what an earlier one stored;
 * both rest on these bytes.
 *
 * <p>Bundles and snapshots are compressed, so that their bytes rest on the JDK's zlib as well. A
 * JDK with another one may write others, which every version still reads.
 *
 * <p>With the system property {@code compatibility.record} a file that is missing is written first,
 * for formats that are new. A file that exists is never written again.
 */
public final class RecordedBytes {
  private static final String FOLDER = "/compatibility/";
  private static final Path SOURCES = Path.of("src", "test", "resources", "compatibility");
  private static final boolean RECORDING = Boolean.getBoolean("compatibility.record");

  private RecordedBytes() {}

  /** The recorded bytes; fails the test where there are none. */
  public static byte[] read(String name) {
    try (InputStream in = RecordedBytes.class.getResourceAsStream(FOLDER + name)) {
      if (in == null && RECORDING) {
        return Files.readAllBytes(SOURCES.resolve(name));
      }
      assertNotNull(in, "no recorded bytes: " + name);
      return in.readAllBytes();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** The recorded JSON object. */
  public static JsonNode readJson(String name) throws MalformedMessageException {
    return Json.parseObject(read(name));
  }

  /** Fails unless these are the recorded bytes; text is compared as text for a legible message. */
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

  /** As above, for the JSON of a record. */
  public static void assertRecorded(String name, JsonNode written) {
    assertRecorded(name, Json.toBytes(written));
  }

  /** As above, for a request: its method and target on one line, then its body. */
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
