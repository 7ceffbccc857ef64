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

/** That a picture survives being written in parts, and that damaged parts are seen. */
class RecordsSnapshotCodecTest {
  private static final int VALUE_BYTES = 16 * 1024;

  private static RecordsSnapshot decoded(List<byte[]> chunks) throws MalformedMessageException {
    return RecordsSnapshot.EMPTY.withJobs(RecordsSnapshotCodec.decode(chunks));
  }

  @Test
  void whatIsWrittenIsReadAgain() throws MalformedMessageException {
    for (long seed = 1; seed <= 20; seed++) {
      RecordsSnapshot picture = RecordsSnapshotFixture.history(seed, 200).get(199);
      List<byte[]> chunks = RecordsSnapshotCodec.encode(picture.jobs(), 600);
      assertTrue(chunks.size() > 1, "in several parts");
      assertTrue(chunks.stream().allMatch(chunk -> chunk.length <= 600));
      assertEquals(
          RecordsSnapshotFixture.text(picture), RecordsSnapshotFixture.text(decoded(chunks)));
    }
  }

  /** The largest job that may be submitted, all of it running. */
  @Test
  void anArrayOfAHundredThousandTasksFitsTheServicesValues() throws MalformedMessageException {
    int perShard = Records.tasksPerShard(VALUE_BYTES);
    RecordsSnapshot.JobSnapshot job =
        RecordsSnapshotFixture.running(
            JobFixture.job("req-000001", Priority.NORMAL, 100_000, 1), perShard);
    RecordsSnapshot picture =
        RecordsSnapshot.EMPTY.withJobs(HashTreePMap.singleton("req-000001", job));
    List<byte[]> chunks =
        RecordsSnapshotCodec.encode(picture.jobs(), Records.maxChunkBytes(VALUE_BYTES));
    for (byte[] chunk : chunks) {
      assertTrue(Json.toBytes(Records.encodeBundle(chunk)).length <= VALUE_BYTES);
    }
    // At 60 changes a second these are written within a few seconds, of a lease of 16.
    assertTrue(chunks.size() <= 180, chunks.size() + " bundles");
    assertEquals(
        RecordsSnapshotFixture.text(picture), RecordsSnapshotFixture.text(decoded(chunks)));
  }

  @Test
  void equalPicturesHaveEqualDigestsAndChangedOnesHaveOthers() {
    RecordsSnapshot picture = RecordsSnapshotFixture.history(3, 200).get(199);
    List<byte[]> chunks = RecordsSnapshotCodec.encode(picture.jobs(), 600);
    String digest = RecordsSnapshotCodec.digest(chunks);
    assertEquals(
        digest, RecordsSnapshotCodec.digest(RecordsSnapshotCodec.encode(picture.jobs(), 600)));
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
  void partsThatAreCutShortAreRefused() {
    RecordsSnapshot picture = RecordsSnapshotFixture.history(4, 200).get(199);
    List<byte[]> chunks = RecordsSnapshotCodec.encode(picture.jobs(), 100_000);
    byte[] torn = java.util.Arrays.copyOf(chunks.get(0), chunks.get(0).length / 2);
    assertThrows(MalformedMessageException.class, () -> RecordsSnapshotCodec.decode(List.of(torn)));
    assertThrows(
        MalformedMessageException.class,
        () -> RecordsSnapshotCodec.decode(List.of(new byte[] {1, 2, 3})));
  }

  @Test
  void aRecordThatCannotFitIsRefusedByName() {
    RecordsSnapshot picture = RecordsSnapshotFixture.history(4, 20).get(19);
    IllegalArgumentException refused =
        assertThrows(
            IllegalArgumentException.class, () -> RecordsSnapshotCodec.encode(picture.jobs(), 20));
    assertTrue(refused.getMessage().contains("req-"), refused.getMessage());
  }
}
