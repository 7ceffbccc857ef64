package io.cherryspool.sim.partition;

import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cherryspool.sim.cluster.RandomizedRun;
import io.cherryspool.sim.cluster.SimulatedCluster;
import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests that no verdict on links, right or wrong, can break a rule. In random runs with faults of
 * every kind, the nodes obey random verdicts that do not depend on their links. Leases, terms,
 * fencing tokens and confirmed deletions of machines must suffice to keep the rules, which are
 * checked after each event. All jobs must end.
 */
class RandomVerdictsTest {
  /**
   * The time at which the faults end. The random verdicts end as well, so that all jobs can end.
   */
  private static final double FAULTS_END_S = 240;

  private static void runSeed(long seed) {
    RandomVerdicts verdicts = new RandomVerdicts(seed, Duration.ofSeconds((long) FAULTS_END_S));
    RandomizedRun run = new RandomizedRun(SimulatedCluster.withVerdicts(seed, verdicts));
    run.run(FAULTS_END_S, 260);
    assertTrue(run.cluster().rules().startCount() > 50);
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 10, 11, 12, 13})
  void rulesHoldAndAllJobsEndUnderRandomVerdicts(long seed) {
    runSeed(seed);
  }

  /**
   * Guards against a fault that was seen with this seed: a job waited for 90 s although nine of
   * eleven machines were idle and its team used 10 of its 96 CPUs. The quota was reserved for tasks
   * of the same team that were bound to other zones and had no machine. The scheduling rounds
   * logged {@code job=req-000060 placed=0 over-quota=4 unschedulable=0} beside {@code
   * job=req-000058 unschedulable=6 cause=no-machine}. {@code QuotaReservationTest} reproduces the
   * plan with fewer tasks, and docs/incidents/held-quota.md describes the incident. Since the fix,
   * this seed leads to other events.
   */
  @Test
  void aJobIsPlacedWhileTasksOfItsTeamWaitForOtherZones() {
    runSeed(9);
  }
}
