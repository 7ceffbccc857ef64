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
class PictureCodecTest {
  private static final int VALUE_BYTES = 16 * 1024;

  private static Picture decoded(List<byte[]> chunks) throws MalformedMessageException {
    return Picture.EMPTY.withJobs(PictureCodec.decode(chunks));
  }

  @Test
  void whatIsWrittenIsReadAgain() throws MalformedMessageException {
    for (long seed = 1; seed <= 20; seed++) {
      Picture picture = PictureFixture.history(seed, 200).get(199);
      List<byte[]> chunks = PictureCodec.encode(picture.jobs(), 600);
      assertTrue(chunks.size() > 1, "in several parts");
      assertTrue(chunks.stream().allMatch(chunk -> chunk.length <= 600));
      assertEquals(PictureFixture.text(picture), PictureFixture.text(decoded(chunks)));
    }
  }

  /** The largest job that may be submitted, all of it running. */
  @Test
  void anArrayOfAHundredThousandTasksFitsTheServicesValues() throws MalformedMessageException {
    int perShard = Records.tasksPerShard(VALUE_BYTES);
    Picture.PictureJob job =
        PictureFixture.running(JobFixture.job("req-000001", Priority.NORMAL, 100_000, 1), perShard);
    Picture picture = Picture.EMPTY.withJobs(HashTreePMap.singleton("req-000001", job));
    List<byte[]> chunks = PictureCodec.encode(picture.jobs(), Records.chunkBytes(VALUE_BYTES));
    for (byte[] chunk : chunks) {
      assertTrue(Json.toBytes(Records.bundle(chunk)).length <= VALUE_BYTES);
    }
    // At 60 changes a second these are written within a few seconds, of a lease of 16.
    assertTrue(chunks.size() <= 180, chunks.size() + " bundles");
    assertEquals(PictureFixture.text(picture), PictureFixture.text(decoded(chunks)));
  }

  @Test
  void equalPicturesHaveEqualDigestsAndChangedOnesHaveOthers() {
    Picture picture = PictureFixture.history(3, 200).get(199);
    List<byte[]> chunks = PictureCodec.encode(picture.jobs(), 600);
    String digest = PictureCodec.digest(chunks);
    assertEquals(digest, PictureCodec.digest(PictureCodec.encode(picture.jobs(), 600)));
    List<byte[]> swapped = new ArrayList<>(chunks);
    Collections.swap(swapped, 0, 1);
    assertNotEquals(digest, PictureCodec.digest(swapped));
    assertNotEquals(digest, PictureCodec.digest(chunks.subList(1, chunks.size())));
    byte[] changed = chunks.get(0).clone();
    changed[changed.length / 2] ^= 1;
    List<byte[]> damaged = new ArrayList<>(chunks);
    damaged.set(0, changed);
    assertNotEquals(digest, PictureCodec.digest(damaged));
  }

  @Test
  void partsThatAreCutShortAreRefused() {
    Picture picture = PictureFixture.history(4, 200).get(199);
    List<byte[]> chunks = PictureCodec.encode(picture.jobs(), 100_000);
    byte[] torn = java.util.Arrays.copyOf(chunks.get(0), chunks.get(0).length / 2);
    assertThrows(MalformedMessageException.class, () -> PictureCodec.decode(List.of(torn)));
    assertThrows(
        MalformedMessageException.class, () -> PictureCodec.decode(List.of(new byte[] {1, 2, 3})));
  }

  @Test
  void aRecordThatCannotFitIsRefusedByName() {
    Picture picture = PictureFixture.history(4, 20).get(19);
    IllegalArgumentException refused =
        assertThrows(IllegalArgumentException.class, () -> PictureCodec.encode(picture.jobs(), 20));
    assertTrue(refused.getMessage().contains("req-"), refused.getMessage());
  }
}
