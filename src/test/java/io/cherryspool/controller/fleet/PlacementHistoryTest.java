package io.cherryspool.controller.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.util.Set;
import org.junit.jupiter.api.Test;

/**
 * Tests the exclusion of jobs from machines on which their tasks failed. Guards against a large job
 * waiting while machines are idle, because an occasional task failure excluded the whole job from a
 * machine. Seen in seed 237 of the random faults: req-000086, with 57 tasks and restricted to a
 * zone with three machines, was excluded from two of the three idle machines for 90 s with {@code
 * cause=excluded-machine}, although its tasks had completed on all of them.
 */
class PlacementHistoryTest {
  private static final String JOB = "req-000001";
  private static final Duration NOW = Duration.ofSeconds(100);

  private final PlacementHistory history = new PlacementHistory();

  @Test
  void aJobThatNeverCompletedATaskHereIsExcludedByOneFailure() {
    history.recordSuccess("req-000002");
    history.recordJobFailure(JOB, NOW);
    assertEquals(Set.of(JOB), history.excludedJobs());
  }

  @Test
  void aJobThatCompletedATaskHereIsExcludedByTwoConsecutiveFailures() {
    history.recordSuccess(JOB);
    history.recordJobFailure(JOB, NOW);
    assertEquals(Set.of(), history.excludedJobs());
    history.recordJobFailure(JOB, NOW.plusSeconds(1));
    assertEquals(Set.of(JOB), history.excludedJobs());
  }

  @Test
  void aSuccessBetweenFailuresPreventsTheExclusion() {
    for (int i = 0; i < 5; i++) {
      history.recordSuccess(JOB);
      history.recordJobFailure(JOB, NOW.plusSeconds(i));
    }
    assertEquals(Set.of(), history.excludedJobs());
  }

  /** Tasks that were placed before the exclusion may complete during it. */
  @Test
  void aSuccessEndsAnExclusion() {
    history.recordJobFailure(JOB, NOW);
    history.recordSuccess(JOB);
    assertEquals(Set.of(), history.excludedJobs());
  }
}
