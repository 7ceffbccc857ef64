package io.cherryspool.store;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.cherryspool.model.Outcome;
import io.cherryspool.model.Shard;
import io.cherryspool.wire.Json;
import io.cherryspool.wire.MalformedMessageException;
import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.zip.DataFormatException;
import java.util.zip.Deflater;
import java.util.zip.Inflater;
import org.apache.commons.codec.binary.Hex;
import org.apache.commons.codec.digest.MurmurHash3;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * Encodes the jobs of a {@link RecordsSnapshot} as compressed chunks of limited size, and decodes
 * them. A chunk contains complete units; a unit is a job's description with its outcome, or one of
 * the job's progress records. The units of a job may be in different chunks, so the chunks must be
 * read in order.
 */
public final class RecordsSnapshotCodec {
  private static final String UNITS = "units";
  private static final String ID = "id";
  private static final String JOB = "job";
  private static final String OUTCOME = "outcome";
  private static final String SHARD = "shard";
  private static final String PROGRESS = "progress";

  /**
   * The estimated compression ratio of the records' text. A chunk that turns out to be too large is
   * split.
   */
  private static final int EXPECTED_COMPRESSION = 8;

  /** The maximum size of the text that is read from one chunk. Valid chunks contain far less. */
  private static final int MAX_TEXT_BYTES = 64 << 20;

  private static final int BUFFER_BYTES = 16 * 1024;

  private RecordsSnapshotCodec() {}

  /**
   * Encodes jobs as chunks of at most {@code maxBytes} each. Equal jobs give equal chunks.
   *
   * @throws IllegalArgumentException if a single record does not fit into a chunk
   */
  public static List<byte[]> encode(PMap<String, RecordsSnapshot.JobSnapshot> jobs, int maxBytes) {
    List<JsonNode> units = new ArrayList<>();
    jobs.entrySet().stream()
        .sorted(Map.Entry.comparingByKey())
        .forEach(entry -> addUnits(entry.getKey(), entry.getValue(), units));
    List<byte[]> chunks = new ArrayList<>();
    List<JsonNode> batch = new ArrayList<>();
    int textBytes = 0;
    for (JsonNode unit : units) {
      int unitBytes = Json.toBytes(unit).length;
      if (textBytes + unitBytes > EXPECTED_COMPRESSION * maxBytes && !batch.isEmpty()) {
        addChunks(batch, maxBytes, chunks);
        batch = new ArrayList<>();
        textBytes = 0;
      }
      batch.add(unit);
      textBytes += unitBytes;
    }
    if (!batch.isEmpty()) {
      addChunks(batch, maxBytes, chunks);
    }
    return chunks;
  }

  private static void addUnits(String id, RecordsSnapshot.JobSnapshot job, List<JsonNode> units) {
    ObjectNode description = Json.object().put(ID, id);
    description.set(JOB, Records.encodeJob(job.job(), job.tasksPerShard()));
    if (job.outcome() != null) {
      description.set(OUTCOME, Records.encodeOutcome(job.outcome()));
    }
    units.add(description);
    job.shards()
        .forEach(
            (index, shard) -> {
              ObjectNode progress = Json.object().put(ID, id).put(SHARD, index);
              progress.set(PROGRESS, Records.encodeShard(shard));
              units.add(progress);
            });
  }

  private static void addChunks(List<JsonNode> units, int maxBytes, List<byte[]> chunks) {
    ObjectNode root = Json.object();
    ArrayNode array = root.putArray(UNITS);
    units.forEach(array::add);
    byte[] chunk = deflate(Json.toBytes(root));
    if (chunk.length <= maxBytes) {
      chunks.add(chunk);
      return;
    }
    if (units.size() == 1) {
      throw new IllegalArgumentException(
          "a record of " + units.get(0).path(ID).asText() + " does not fit " + maxBytes + " bytes");
    }
    int half = units.size() / 2;
    addChunks(units.subList(0, half), maxBytes, chunks);
    addChunks(units.subList(half, units.size()), maxBytes, chunks);
  }

  /**
   * Decodes the chunks that {@link #encode} returned, in the same order.
   *
   * @throws MalformedMessageException if a chunk is damaged or the description of a job is missing
   */
  public static PMap<String, RecordsSnapshot.JobSnapshot> decode(List<byte[]> chunks)
      throws MalformedMessageException {
    Map<String, RecordsSnapshot.JobSnapshot> jobs = new HashMap<>();
    for (byte[] chunk : chunks) {
      for (JsonNode unit : Json.parseObject(inflate(chunk)).path(UNITS)) {
        readUnit(unit, jobs);
      }
    }
    return HashTreePMap.from(jobs);
  }

  private static void readUnit(JsonNode unit, Map<String, RecordsSnapshot.JobSnapshot> jobs)
      throws MalformedMessageException {
    String id = unit.path(ID).asText();
    if (unit.has(JOB)) {
      JsonNode record = unit.path(JOB);
      Outcome outcome = unit.has(OUTCOME) ? Records.decodeOutcome(unit.path(OUTCOME)) : null;
      jobs.put(
          id,
          RecordsSnapshot.JobSnapshot.ofAcceptedJob(
                  Records.decodeJob(record), Records.decodeTasksPerShard(record))
              .withOutcome(outcome));
      return;
    }
    RecordsSnapshot.JobSnapshot job = jobs.get(id);
    if (job == null) {
      throw new MalformedMessageException("progress of " + id + ", which is not described");
    }
    Shard shard = Records.decodeShard(unit.path(PROGRESS));
    jobs.put(id, job.withShard(unit.path(SHARD).intValue(), shard));
  }

  /** Returns a digest of all chunks in order, as hexadecimal text. */
  public static String digest(List<byte[]> chunks) {
    long[] sum = new long[2];
    for (byte[] chunk : chunks) {
      long[] hash = MurmurHash3.hash128x64(chunk, 0, chunk.length, (int) sum[0]);
      sum[0] = sum[0] * 31 + hash[0];
      sum[1] = sum[1] * 31 + hash[1];
    }
    return Hex.encodeHexString(ByteBuffer.allocate(16).putLong(sum[0]).putLong(sum[1]).array());
  }

  private static byte[] deflate(byte[] text) {
    Deflater deflater = new Deflater(Deflater.BEST_SPEED);
    try {
      deflater.setInput(text);
      deflater.finish();
      ByteArrayOutputStream out = new ByteArrayOutputStream(text.length / 4 + 64);
      byte[] buffer = new byte[BUFFER_BYTES];
      while (!deflater.finished()) {
        out.write(buffer, 0, deflater.deflate(buffer));
      }
      return out.toByteArray();
    } finally {
      deflater.end();
    }
  }

  private static byte[] inflate(byte[] chunk) throws MalformedMessageException {
    Inflater inflater = new Inflater();
    try {
      inflater.setInput(chunk);
      ByteArrayOutputStream out = new ByteArrayOutputStream(chunk.length * 4 + 64);
      byte[] buffer = new byte[BUFFER_BYTES];
      while (!inflater.finished()) {
        int count = inflater.inflate(buffer);
        if (count == 0 && (inflater.needsInput() || inflater.needsDictionary())) {
          throw new MalformedMessageException("a chunk that ends too early");
        }
        out.write(buffer, 0, count);
        if (out.size() > MAX_TEXT_BYTES) {
          throw new MalformedMessageException("a chunk of more than " + MAX_TEXT_BYTES + " bytes");
        }
      }
      return out.toByteArray();
    } catch (DataFormatException e) {
      throw new MalformedMessageException("a chunk that can't be decompressed: " + e.getMessage());
    } finally {
      inflater.end();
    }
  }
}
