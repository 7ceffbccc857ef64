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

/** That joining what several sources know loses nothing, and depends on no order. */
class SnapshotMergeTest {
  private static final int STEPS = 120;

  private static String join(List<RecordsSnapshot> sources) {
    RecordsSnapshot all = RecordsSnapshot.EMPTY;
    for (RecordsSnapshot source : sources) {
      all = SnapshotMerge.merge(all, source);
    }
    return RecordsSnapshotFixture.text(all);
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10})
  void theOrderOfSourcesAndReadingThemAgainChangesNothing(long seed) {
    List<RecordsSnapshot> history = RecordsSnapshotFixture.history(seed, STEPS);
    Random random = new Random(seed);
    List<RecordsSnapshot> sources = new ArrayList<>();
    for (int i = 0; i < 5; i++) {
      sources.add(history.get(random.nextInt(STEPS)));
      // Another history from the same beginning: a node that retained nothing went on differently.
      sources.add(RecordsSnapshotFixture.history(seed + 100, STEPS).get(random.nextInt(STEPS)));
    }
    String joined = join(sources);
    for (int i = 0; i < 20; i++) {
      Collections.shuffle(sources, random);
      assertEquals(joined, join(sources));
    }
    sources.addAll(List.copyOf(sources));
    assertEquals(joined, join(sources));
    RecordsSnapshot left = SnapshotMerge.merge(sources.get(0), sources.get(1));
    RecordsSnapshot right = SnapshotMerge.merge(sources.get(2), sources.get(3));
    assertEquals(
        join(sources.subList(0, 4)), RecordsSnapshotFixture.text(SnapshotMerge.merge(left, right)));
  }

  /** Replicas are prefixes of one history: the longest of them contains all the others. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10})
  void theLongestPrefixOfAHistoryContainsTheOthers(long seed) {
    List<RecordsSnapshot> history = RecordsSnapshotFixture.history(seed, STEPS);
    for (int i = 0; i < STEPS; i += 7) {
      RecordsSnapshot older = history.get(i);
      for (int j = i; j < STEPS; j += 11) {
        RecordsSnapshot newer = history.get(j);
        assertEquals(
            RecordsSnapshotFixture.text(newer),
            RecordsSnapshotFixture.text(SnapshotMerge.merge(older, newer)));
        assertSame(newer.jobs(), SnapshotMerge.merge(newer, older).jobs(), "nothing is added");
      }
    }
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6})
  void noEndAndNoCompletedTaskIsTakenBack(long seed) {
    List<RecordsSnapshot> history = RecordsSnapshotFixture.history(seed, STEPS);
    List<RecordsSnapshot> other = RecordsSnapshotFixture.history(seed + 50, STEPS);
    RecordsSnapshot joined = SnapshotMerge.merge(history.get(STEPS - 1), other.get(STEPS / 2));
    for (RecordsSnapshot source : List.of(history.get(STEPS - 1), other.get(STEPS / 2))) {
      source
          .jobs()
          .forEach(
              (id, job) -> {
                RecordsSnapshot.JobSnapshot all = joined.jobs().get(id);
                assertNotNull(all, id);
                if (job.outcome() == Outcome.DONE) {
                  assertEquals(Outcome.DONE, all.outcome(), id);
                } else if (job.outcome() != null) {
                  assertNotNull(all.outcome(), id);
                }
                job.shards()
                    .forEach(
                        (index, shard) -> {
                          for (int t = shard.nextDone(0); t >= 0; t = shard.nextDone(t + 1)) {
                            assertEquals(true, all.shards().get(index).isDone(t), id + "/" + t);
                          }
                        });
              });
    }
  }

  /** An older copy still has the attempt as owned; that it has ended is later. */
  @Test
  void anAttemptThatHasEndedIsNotOwnedAgain() {
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
