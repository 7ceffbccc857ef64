package io.cherryspool.sim.partition;

import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cherryspool.sim.cluster.RandomizedRun;
import io.cherryspool.sim.cluster.SimulatedCluster;
import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * No verdict on links can break a rule, whatever it is: in random runs with faults of every kind
 * the nodes obey verdicts drawn by chance, which know nothing of their links. Leases, terms, tokens
 * and deletions alone have to hold; the rules are checked after each step, and all work ends.
 */
class RandomVerdictsTest {
  /** Once the faults are over verdicts are right again, so that work can end. */
  private static final double TROUBLES = 240;

  private static void play(long seed) {
    RandomVerdicts verdicts = new RandomVerdicts(seed, Duration.ofSeconds((long) TROUBLES));
    RandomizedRun run = new RandomizedRun(SimulatedCluster.withVerdicts(seed, verdicts));
    run.run(TROUBLES, 260);
    assertTrue(run.cluster().rules().startCount() > 50);
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 10, 11, 12, 13})
  void theRulesHoldAndEverythingEnds(long seed) {
    play(seed);
  }

  /**
   * A job once was left waiting for 90 s while nine of eleven machines were idle and its team used
   * 10 of its 96 CPUs: tasks of its team without a machine, bound to other zones, held the quota.
   * The rounds' log said {@code job=req-000060 placed=0 over-quota=4 unschedulable=0} beside {@code
   * job=req-000058 unschedulable=6 cause=no-machine}. The traced plan in small is in {@code
   * HeldQuotaTest}, the story in docs/incidents/held-quota.md; since the mend this seed plays other
   * events.
   */
  @Test
  void aJobWaitsWhileAZoneIdles() {
    play(9);
  }
}
