package io.cherryspool.sim.faults;

import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cherryspool.model.Job;
import io.cherryspool.sim.cluster.DirectedFaultsFixture;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Each round gives out a newer token, which every machine shows in its next heartbeat. That was
 * taken for news: one small job made the leader plan for all machines again and again while work
 * waited.
 */
class UnchangedHeartbeatTest extends DirectedFaultsFixture {
  private static final int SMALL_JOBS = 12;
  private static final double APART_S = 8;

  /**
   * Submitted, placed, seen running, done, written and a fleet that follows: nine at the most seen.
   */
  private static final int PLANS_PER_JOB = 4;

  @Test
  void aNewerTokenAloneIsNoReasonToPlan() {
    startCluster(1, 3);
    Job waiting = submit("red", 80, 1, Duration.ofMinutes(5));
    awaitRunning(waiting, 60);
    cluster.run(60);
    double before = planned();
    List<Job> small = new ArrayList<>();
    for (int i = 0; i < SMALL_JOBS; i++) {
      small.add(submit("blue", 1, 1, Duration.ofSeconds(2)));
      cluster.run(APART_S);
    }
    double each = (planned() - before) / SMALL_JOBS;
    // Users ask every 5 s, so that they receive an end so much later.
    cluster.run(5);
    assertAllEnded(small);
    assertTrue(cluster.fleet().runningTaskCount(waiting) < 80, "some of the large job still waits");
    // A round each second takes in what time alone changes.
    assertTrue(each <= PLANS_PER_JOB + APART_S, each + " plans for each small job");
  }

  private double planned() {
    SimpleMeterRegistry registry = new SimpleMeterRegistry();
    cluster.leader().bindTo(registry);
    return registry.get("cherryspool.rounds.planned").functionCounter().count();
  }
}
