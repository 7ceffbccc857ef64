package io.cherryspool.recovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;

import io.cherryspool.model.Outcome;
import io.cherryspool.model.Shard;
import io.cherryspool.store.RecordsSnapshot;
import io.cherryspool.store.RecordsSnapshotFixture;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests that merging snapshots loses nothing and does not depend on the order of the sources. */
class SnapshotMergeTest {
  private static final int STEPS = 120;

  private static String mergeAll(List<RecordsSnapshot> sources) {
    RecordsSnapshot all = RecordsSnapshot.EMPTY;
    for (RecordsSnapshot source : sources) {
      all = SnapshotMerge.merge(all, source);
    }
    return RecordsSnapshotFixture.text(all);
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10})
  void theOrderAndRepetitionOfSourcesDoNotChangeTheResult(long seed) {
    List<RecordsSnapshot> history = RecordsSnapshotFixture.history(seed, STEPS);
    Random random = new Random(seed);
    List<RecordsSnapshot> sources = new ArrayList<>();
    for (int i = 0; i < 5; i++) {
      sources.add(history.get(random.nextInt(STEPS)));
      // A second history represents changes by a node that retained no records.
      sources.add(RecordsSnapshotFixture.history(seed + 100, STEPS).get(random.nextInt(STEPS)));
    }
    String merged = mergeAll(sources);
    for (int i = 0; i < 20; i++) {
      Collections.shuffle(sources, random);
      assertEquals(merged, mergeAll(sources));
    }
    sources.addAll(List.copyOf(sources));
    assertEquals(merged, mergeAll(sources));
    RecordsSnapshot left = SnapshotMerge.merge(sources.get(0), sources.get(1));
    RecordsSnapshot right = SnapshotMerge.merge(sources.get(2), sources.get(3));
    assertEquals(
        mergeAll(sources.subList(0, 4)),
        RecordsSnapshotFixture.text(SnapshotMerge.merge(left, right)));
  }

  /** Replicas are prefixes of one history, so the longest one contains all others. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10})
  void mergingAShorterPrefixOfAHistoryAddsNothing(long seed) {
    List<RecordsSnapshot> history = RecordsSnapshotFixture.history(seed, STEPS);
    for (int i = 0; i < STEPS; i += 7) {
      RecordsSnapshot older = history.get(i);
      for (int j = i; j < STEPS; j += 11) {
        RecordsSnapshot newer = history.get(j);
        assertEquals(
            RecordsSnapshotFixture.text(newer),
            RecordsSnapshotFixture.text(SnapshotMerge.merge(older, newer)));
        assertSame(
            newer.jobs(),
            SnapshotMerge.merge(newer, older).jobs(),
            "the older snapshot adds nothing");
      }
    }
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6})
  void outcomesAndCompletedTasksAreNeverLost(long seed) {
    List<RecordsSnapshot> history = RecordsSnapshotFixture.history(seed, STEPS);
    List<RecordsSnapshot> other = RecordsSnapshotFixture.history(seed + 50, STEPS);
    RecordsSnapshot merged = SnapshotMerge.merge(history.get(STEPS - 1), other.get(STEPS / 2));
    for (RecordsSnapshot source : List.of(history.get(STEPS - 1), other.get(STEPS / 2))) {
      source
          .jobs()
          .forEach(
              (id, job) -> {
                RecordsSnapshot.JobSnapshot mergedJob = merged.jobs().get(id);
                assertNotNull(mergedJob, id);
                if (job.outcome() == Outcome.DONE) {
                  assertEquals(Outcome.DONE, mergedJob.outcome(), id);
                } else if (job.outcome() != null) {
                  assertNotNull(mergedJob.outcome(), id);
                }
                job.shards()
                    .forEach(
                        (index, shard) -> {
                          for (int t = shard.nextDone(0); t >= 0; t = shard.nextDone(t + 1)) {
                            assertEquals(
                                true, mergedJob.shards().get(index).isDone(t), id + "/" + t);
                          }
                        });
              });
    }
  }

  /**
   * In an older copy of the records the attempt is still owned. The state in which the attempt has
   * ended is the later one.
   */
  @Test
  void anEndedAttemptIsNotOwnedAgain() {
    Shard owned = Shard.EMPTY.edit().assign(0, "host-1", 1, 7).build();
    Shard ended = owned.edit().release(0, true).build();
    Shard again = ended.edit().assign(0, "host-2", 1, 9).build();
    assertNull(SnapshotMerge.merge(owned, ended).ownedAttempt(0));
    assertNull(SnapshotMerge.merge(ended, owned).ownedAttempt(0));
    assertEquals("host-2", SnapshotMerge.merge(owned, again).ownedAttempt(0).machine());
    assertEquals("host-2", SnapshotMerge.merge(again, ended).ownedAttempt(0).machine());
    assertEquals(2, SnapshotMerge.merge(owned, again).history(0).attempts());
  }
}
