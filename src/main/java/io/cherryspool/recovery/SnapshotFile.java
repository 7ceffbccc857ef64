package io.cherryspool.recovery;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.cherryspool.store.Incarnation;
import io.cherryspool.store.RecordsSnapshot;
import io.cherryspool.store.RecordsSnapshotCodec;
import io.cherryspool.wire.Json;
import io.cherryspool.wire.MalformedMessageException;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * The file format of a records snapshot: a header of one line of JSON, followed by the chunks. The
 * header contains the format version, the cluster, the position of the records in the history, and
 * a digest of the chunks, so that a file that is truncated, damaged or written by a newer version
 * of the program can be distinguished from a valid one.
 *
 * @param takenAt the wall-clock time at which the snapshot was taken
 */
public record SnapshotFile(RecordsSnapshot records, Instant takenAt) {
  /** The format version that this program writes, and the newest one that it reads. */
  public static final int FORMAT = 1;

  /** The maximum size of a chunk. Chunks are small, so that decoding one needs little memory. */
  private static final int MAX_CHUNK_BYTES = 256 * 1024;

  private static final byte[] MAGIC =
      "{\"cherryspool\":\"snapshot\"".getBytes(StandardCharsets.UTF_8);

  private static final byte NEWLINE = '\n';

  /**
   * What is wrong with the content of a snapshot file. Operators see the names of these constants.
   */
  public enum Fault {
    /** The file does not begin like a snapshot. */
    NOT_A_SNAPSHOT,
    /** A newer version of the program has written the file. */
    NEWER_FORMAT,
    /** Bytes are missing at the end of the file. */
    TORN,
    /** The content of the file has changed since it was written. */
    DAMAGED
  }

  /** Thrown if a snapshot file can't be used. */
  public static final class InvalidSnapshotException extends Exception {
    private static final long serialVersionUID = 1L;

    private final Fault fault;

    InvalidSnapshotException(Fault fault, String message) {
      super(message);
      this.fault = fault;
    }

    InvalidSnapshotException(Fault fault, String message, Throwable cause) {
      super(message, cause);
      this.fault = fault;
    }

    /** What is wrong with the snapshot file. */
    public Fault fault() {
      return fault;
    }
  }

  /** Encodes the content of the file. */
  public byte[] encode() {
    List<byte[]> chunks = RecordsSnapshotCodec.encode(records.jobs(), MAX_CHUNK_BYTES);
    ObjectNode header = Json.object().put("cherryspool", "snapshot").put("format", FORMAT);
    header.put("cluster", records.cluster());
    header.put("incarnation", records.position().incarnationNumber());
    header.put("nonce", records.nonce());
    header.put("revision", records.position().revision());
    header.put("term", records.term());
    header.put("taken", takenAt.toEpochMilli());
    header.put("jobs", records.jobs().size());
    header.put("digest", RecordsSnapshotCodec.digest(chunks));
    if (records.catalog() != null) {
      header.set("catalog", records.catalog());
    }
    ArrayNode lengths = header.putArray("chunks");
    chunks.forEach(chunk -> lengths.add(chunk.length));
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    out.writeBytes(Json.toBytes(header));
    out.write(NEWLINE);
    chunks.forEach(out::writeBytes);
    return out.toByteArray();
  }

  /**
   * Decodes the content of a file that {@link #encode} returned.
   *
   * @throws InvalidSnapshotException if the content is not valid; it says what is wrong
   */
  public static SnapshotFile decode(byte[] bytes) throws InvalidSnapshotException {
    int headerLength = findHeaderEnd(bytes);
    JsonNode header = parseHeader(Arrays.copyOf(bytes, headerLength));
    int format = header.path("format").intValue();
    if (format > FORMAT) {
      throw new InvalidSnapshotException(
          Fault.NEWER_FORMAT, "format " + format + ", and this program reads up to " + FORMAT);
    }
    List<byte[]> chunks = splitChunks(bytes, headerLength + 1, header);
    if (!RecordsSnapshotCodec.digest(chunks).equals(header.path("digest").asText())) {
      throw new InvalidSnapshotException(Fault.DAMAGED, "the digest does not match");
    }
    try {
      return new SnapshotFile(
          parseRecords(header, chunks), Instant.ofEpochMilli(header.path("taken").longValue()));
    } catch (MalformedMessageException e) {
      throw new InvalidSnapshotException(Fault.DAMAGED, e.getMessage(), e);
    }
  }

  /** Returns the length of the header without its newline. */
  private static int findHeaderEnd(byte[] bytes) throws InvalidSnapshotException {
    boolean hasMagic =
        bytes.length >= MAGIC.length
            && Arrays.equals(bytes, 0, MAGIC.length, MAGIC, 0, MAGIC.length);
    if (!hasMagic) {
      throw new InvalidSnapshotException(Fault.NOT_A_SNAPSHOT, "it does not begin like one");
    }
    int end = 0;
    while (end < bytes.length && bytes[end] != NEWLINE) {
      end++;
    }
    if (end == bytes.length) {
      throw new InvalidSnapshotException(Fault.TORN, "it ends within its first line");
    }
    return end;
  }

  private static JsonNode parseHeader(byte[] line) throws InvalidSnapshotException {
    try {
      return Json.parseObject(line);
    } catch (MalformedMessageException e) {
      throw new InvalidSnapshotException(Fault.DAMAGED, "its first line is " + e.getMessage(), e);
    }
  }

  private static RecordsSnapshot parseRecords(JsonNode header, List<byte[]> chunks)
      throws MalformedMessageException {
    return new RecordsSnapshot(
        header.path("cluster").asText(),
        header.path("nonce").asText(),
        new Incarnation.HistoryPosition(
            header.path("incarnation").longValue(), header.path("revision").longValue()),
        header.path("term").longValue(),
        header.has("catalog") ? header.path("catalog") : null,
        RecordsSnapshotCodec.decode(chunks));
  }

  private static List<byte[]> splitChunks(byte[] bytes, int start, JsonNode header)
      throws InvalidSnapshotException {
    List<byte[]> chunks = new ArrayList<>();
    int offset = start;
    for (JsonNode length : header.path("chunks")) {
      int size = length.intValue();
      if (size < 0 || size > bytes.length - offset) {
        throw new InvalidSnapshotException(
            Fault.TORN,
            "chunk " + chunks.size() + " of " + header.path("chunks").size() + " is cut");
      }
      chunks.add(Arrays.copyOfRange(bytes, offset, offset + size));
      offset += size;
    }
    if (offset != bytes.length) {
      throw new InvalidSnapshotException(Fault.DAMAGED, bytes.length - offset + " bytes too many");
    }
    return chunks;
  }
}
