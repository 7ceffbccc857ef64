package io.cherryspool.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cherryspool.model.JobFixture;
import io.cherryspool.model.Priority;
import io.cherryspool.wire.Json;
import io.cherryspool.wire.MalformedMessageException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.pcollections.HashTreePMap;

/**
 * Tests that snapshots are read back unchanged from their chunks, and that damaged chunks are
 * rejected.
 */
class RecordsSnapshotCodecTest {
  private static final int VALUE_BYTES = 16 * 1024;

  private static RecordsSnapshot decode(List<byte[]> chunks) throws MalformedMessageException {
    return RecordsSnapshot.EMPTY.withJobs(RecordsSnapshotCodec.decode(chunks));
  }

  @Test
  void aSnapshotInSeveralChunksIsReadBackUnchanged() throws MalformedMessageException {
    for (long seed = 1; seed <= 20; seed++) {
      RecordsSnapshot snapshot = RecordsSnapshotFixture.history(seed, 200).get(199);
      List<byte[]> chunks = RecordsSnapshotCodec.encode(snapshot.jobs(), 600);
      assertTrue(chunks.size() > 1, "several chunks");
      assertTrue(chunks.stream().allMatch(chunk -> chunk.length <= 600));
      assertEquals(
          RecordsSnapshotFixture.text(snapshot), RecordsSnapshotFixture.text(decode(chunks)));
    }
  }

  /** Encodes the largest job that may be submitted, with all tasks running. */
  @Test
  void aJobOfAHundredThousandTasksFitsIntoValuesOfTheStore() throws MalformedMessageException {
    int tasksPerShard = Records.tasksPerShard(VALUE_BYTES);
    RecordsSnapshot.JobSnapshot job =
        RecordsSnapshotFixture.running(
            JobFixture.job("req-000001", Priority.NORMAL, 100_000, 1), tasksPerShard);
    RecordsSnapshot snapshot =
        RecordsSnapshot.EMPTY.withJobs(HashTreePMap.singleton("req-000001", job));
    List<byte[]> chunks =
        RecordsSnapshotCodec.encode(snapshot.jobs(), Records.maxChunkBytes(VALUE_BYTES));
    for (byte[] chunk : chunks) {
      assertTrue(Json.toBytes(Records.encodeBundle(chunk)).length <= VALUE_BYTES);
    }
    // At 60 changes per second these are written within a few seconds; a lease lasts 16 s.
    assertTrue(chunks.size() <= 180, chunks.size() + " bundles");
    assertEquals(
        RecordsSnapshotFixture.text(snapshot), RecordsSnapshotFixture.text(decode(chunks)));
  }

  @Test
  void equalSnapshotsHaveEqualDigestsAndChangedOnesDifferentDigests() {
    RecordsSnapshot snapshot = RecordsSnapshotFixture.history(3, 200).get(199);
    List<byte[]> chunks = RecordsSnapshotCodec.encode(snapshot.jobs(), 600);
    String digest = RecordsSnapshotCodec.digest(chunks);
    assertEquals(
        digest, RecordsSnapshotCodec.digest(RecordsSnapshotCodec.encode(snapshot.jobs(), 600)));
    List<byte[]> swapped = new ArrayList<>(chunks);
    Collections.swap(swapped, 0, 1);
    assertNotEquals(digest, RecordsSnapshotCodec.digest(swapped));
    assertNotEquals(digest, RecordsSnapshotCodec.digest(chunks.subList(1, chunks.size())));
    byte[] changed = chunks.get(0).clone();
    changed[changed.length / 2] ^= 1;
    List<byte[]> damaged = new ArrayList<>(chunks);
    damaged.set(0, changed);
    assertNotEquals(digest, RecordsSnapshotCodec.digest(damaged));
  }

  @Test
  void truncatedChunksAreRejected() {
    RecordsSnapshot snapshot = RecordsSnapshotFixture.history(4, 200).get(199);
    List<byte[]> chunks = RecordsSnapshotCodec.encode(snapshot.jobs(), 100_000);
    byte[] truncated = java.util.Arrays.copyOf(chunks.get(0), chunks.get(0).length / 2);
    assertThrows(
        MalformedMessageException.class, () -> RecordsSnapshotCodec.decode(List.of(truncated)));
    assertThrows(
        MalformedMessageException.class,
        () -> RecordsSnapshotCodec.decode(List.of(new byte[] {1, 2, 3})));
  }

  @Test
  void aRecordLargerThanAChunkIsRejectedWithTheIdOfItsJob() {
    RecordsSnapshot snapshot = RecordsSnapshotFixture.history(4, 20).get(19);
    IllegalArgumentException failure =
        assertThrows(
            IllegalArgumentException.class, () -> RecordsSnapshotCodec.encode(snapshot.jobs(), 20));
    assertTrue(failure.getMessage().contains("req-"), failure.getMessage());
  }
}
