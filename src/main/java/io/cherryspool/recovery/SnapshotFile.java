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
 * A picture as bytes: one line of JSON that describes it, then the chunks. The line carries a
 * format version, the cluster and how far the picture reaches, and a digest of the chunks, so that
 * a copy that is cut short, changed, of another cluster or of a later program is told from a good
 * one.
 *
 * @param takenAt the time of day at which it was taken
 */
public record SnapshotFile(RecordsSnapshot records, Instant takenAt) {
  /** Of the files that this program writes, and the newest that it reads. */
  public static final int FORMAT = 1;

  /** Parts are small, so that reading one needs little memory at a time. */
  private static final int CHUNK_BYTES = 256 * 1024;

  private static final byte[] BEGIN =
      "{\"cherryspool\":\"snapshot\"".getBytes(StandardCharsets.UTF_8);

  private static final byte NEWLINE = '\n';

  /** What is wrong with the bytes of a snapshot. */
  public enum Fault {
    /** It does not begin like a snapshot. */
    NOT_A_SNAPSHOT,
    /** A later program wrote it. */
    NEWER_FORMAT,
    /** Bytes are missing at its end. */
    TORN,
    /** Its bytes are not those that were written. */
    DAMAGED,
    /** It belongs to another cluster. */
    FOREIGN
  }

  /** A snapshot that can't be used. */
  public static final class InvalidSnapshotException extends Exception {
    private static final long serialVersionUID = 1L;

    private final Fault fault;

    InvalidSnapshotException(Fault fault, String message) {
      super(message);
      this.fault = fault;
    }

    public Fault fault() {
      return fault;
    }
  }

  /** The bytes to keep. */
  public byte[] encode() {
    List<byte[]> chunks = RecordsSnapshotCodec.encode(records.jobs(), CHUNK_BYTES);
    ObjectNode head = Json.object().put("cherryspool", "snapshot").put("format", FORMAT);
    head.put("cluster", records.cluster());
    head.put("incarnation", records.position().incarnationNumber());
    head.put("nonce", records.nonce());
    head.put("revision", records.position().revision());
    head.put("term", records.term());
    head.put("taken", takenAt.toEpochMilli());
    head.put("jobs", records.jobs().size());
    head.put("digest", RecordsSnapshotCodec.digest(chunks));
    if (records.catalog() != null) {
      head.set("catalog", records.catalog());
    }
    ArrayNode lengths = head.putArray("chunks");
    chunks.forEach(chunk -> lengths.add(chunk.length));
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    out.writeBytes(Json.toBytes(head));
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
    int end = 0;
    while (end < bytes.length && bytes[end] != NEWLINE) {
      end++;
    }
    boolean begins =
        bytes.length >= BEGIN.length
            && Arrays.equals(bytes, 0, BEGIN.length, BEGIN, 0, BEGIN.length);
    if (!begins) {
      throw new InvalidSnapshotException(Fault.NOT_A_SNAPSHOT, "it does not begin like one");
    }
    if (end == bytes.length) {
      throw new InvalidSnapshotException(Fault.TORN, "it ends within its first line");
    }
    JsonNode head = head(Arrays.copyOf(bytes, end));
    int format = head.path("format").intValue();
    if (format > FORMAT) {
      throw new InvalidSnapshotException(
          Fault.NEWER_FORMAT, "format " + format + ", and this program reads up to " + FORMAT);
    }
    List<byte[]> chunks = chunks(bytes, end + 1, head);
    if (!RecordsSnapshotCodec.digest(chunks).equals(head.path("digest").asText())) {
      throw new InvalidSnapshotException(Fault.DAMAGED, "the digest does not match");
    }
    try {
      RecordsSnapshot picture =
          new RecordsSnapshot(
              head.path("cluster").asText(),
              head.path("nonce").asText(),
              new Incarnation.HistoryPosition(
                  head.path("incarnation").longValue(), head.path("revision").longValue()),
              head.path("term").longValue(),
              head.has("catalog") ? head.path("catalog") : null,
              RecordsSnapshotCodec.decode(chunks));
      return new SnapshotFile(picture, Instant.ofEpochMilli(head.path("taken").longValue()));
    } catch (MalformedMessageException e) {
      throw new InvalidSnapshotException(Fault.DAMAGED, e.getMessage());
    }
  }

  private static JsonNode head(byte[] line) throws InvalidSnapshotException {
    try {
      return Json.parseObject(line);
    } catch (MalformedMessageException e) {
      throw new InvalidSnapshotException(Fault.DAMAGED, "its first line is " + e.getMessage());
    }
  }

  private static List<byte[]> chunks(byte[] bytes, int start, JsonNode head)
      throws InvalidSnapshotException {
    List<byte[]> chunks = new ArrayList<>();
    int at = start;
    for (JsonNode length : head.path("chunks")) {
      int size = length.intValue();
      if (size < 0 || size > bytes.length - at) {
        throw new InvalidSnapshotException(
            Fault.TORN, "chunk " + chunks.size() + " of " + head.path("chunks").size() + " is cut");
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
