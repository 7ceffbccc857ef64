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
 * The stored form of a records snapshot: one line of JSON that describes it, then the chunks. The
 * line carries a format version, the cluster and how far the records reach, and a digest of the
 * chunks, so that a copy that is truncated, changed or of a later program is distinguished from a
 * valid one.
 *
 * @param takenAt the time of day at which the records were as they are here
 */
public record SnapshotFile(RecordsSnapshot records, Instant takenAt) {
  /** The format of the files that this program writes, and the newest that it reads. */
  public static final int FORMAT = 1;

  /** Chunks are small, so that reading one needs little memory at a time. */
  private static final int MAX_CHUNK_BYTES = 256 * 1024;

  private static final byte[] MAGIC =
      "{\"cherryspool\":\"snapshot\"".getBytes(StandardCharsets.UTF_8);

  private static final byte NEWLINE = '\n';

  /** What is wrong with the bytes of a snapshot. Operators are shown the names. */
  public enum Fault {
    /** It does not begin like a snapshot. */
    NOT_A_SNAPSHOT,
    /** A later program wrote it. */
    NEWER_FORMAT,
    /** Bytes are missing at its end. */
    TORN,
    /** Its bytes are not those that were written. */
    DAMAGED
  }

  /** Thrown for a snapshot that can't be used. */
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

    /** What is wrong with the snapshot. */
    public Fault fault() {
      return fault;
    }
  }

  /** The bytes of the file. */
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
   * Reads what {@link #encode} wrote.
   *
   * @throws InvalidSnapshotException naming what is wrong with the bytes
   */
  public static SnapshotFile decode(byte[] bytes) throws InvalidSnapshotException {
    int headerBytes = headerBytes(bytes);
    JsonNode header = header(Arrays.copyOf(bytes, headerBytes));
    int format = header.path("format").intValue();
    if (format > FORMAT) {
      throw new InvalidSnapshotException(
          Fault.NEWER_FORMAT, "format " + format + ", and this program reads up to " + FORMAT);
    }
    List<byte[]> chunks = chunks(bytes, headerBytes + 1, header);
    if (!RecordsSnapshotCodec.digest(chunks).equals(header.path("digest").asText())) {
      throw new InvalidSnapshotException(Fault.DAMAGED, "the digest does not match");
    }
    try {
      return new SnapshotFile(
          records(header, chunks), Instant.ofEpochMilli(header.path("taken").longValue()));
    } catch (MalformedMessageException e) {
      throw new InvalidSnapshotException(Fault.DAMAGED, e.getMessage(), e);
    }
  }

  /** The length of the first line, without its end. */
  private static int headerBytes(byte[] bytes) throws InvalidSnapshotException {
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

  private static JsonNode header(byte[] line) throws InvalidSnapshotException {
    try {
      return Json.parseObject(line);
    } catch (MalformedMessageException e) {
      throw new InvalidSnapshotException(Fault.DAMAGED, "its first line is " + e.getMessage(), e);
    }
  }

  private static RecordsSnapshot records(JsonNode header, List<byte[]> chunks)
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

  private static List<byte[]> chunks(byte[] bytes, int start, JsonNode header)
      throws InvalidSnapshotException {
    List<byte[]> chunks = new ArrayList<>();
    int at = start;
    for (JsonNode length : header.path("chunks")) {
      int size = length.intValue();
      if (size < 0 || size > bytes.length - at) {
        throw new InvalidSnapshotException(
            Fault.TORN,
            "chunk " + chunks.size() + " of " + header.path("chunks").size() + " is cut");
      }
      chunks.add(Arrays.copyOfRange(bytes, at, at + size));
      at += size;
    }
    if (at != bytes.length) {
      throw new InvalidSnapshotException(Fault.DAMAGED, bytes.length - at + " bytes too many");
    }
    return chunks;
  }
}
