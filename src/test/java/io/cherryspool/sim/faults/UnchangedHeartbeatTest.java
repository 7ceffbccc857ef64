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
 * Checks that heartbeats that differ only in the fencing token do not trigger planning. Each round
 * issues a newer token, which every machine returns in its next heartbeat. In an earlier version,
 * the leader treated the newer token as a change: one small job made it plan for all machines
 * repeatedly while work waited.
 */
class UnchangedHeartbeatTest extends DirectedFaultsFixture {
  private static final int SMALL_JOBS = 12;
  private static final double SUBMIT_INTERVAL_S = 8;

  /**
   * The number of plans allowed for the events of one job. A job may cause plans when it is
   * submitted, placed, reported as running, completed and written, and when the fleet size is
   * adapted. At most nine plans per job were observed.
   */
  private static final int MAX_PLANS_PER_JOB = 4;

  @Test
  void newFencingTokenAloneTriggersNoPlanning() {
    startCluster(1, 3);
    Job largeJob = submit("red", 80, 1, Duration.ofMinutes(5));
    awaitRunning(largeJob, 60);
    cluster.run(60);
    double plannedBefore = plannedRoundCount();
    List<Job> smallJobs = new ArrayList<>();
    for (int i = 0; i < SMALL_JOBS; i++) {
      smallJobs.add(submit("blue", 1, 1, Duration.ofSeconds(2)));
      cluster.run(SUBMIT_INTERVAL_S);
    }
    double plansPerJob = (plannedRoundCount() - plannedBefore) / SMALL_JOBS;
    // Users poll every 5 s, so they learn of the end of a job up to 5 s later.
    cluster.run(5);
    assertAllEnded(smallJobs);
    assertTrue(
        cluster.fleet().runningTaskCount(largeJob) < 80,
        "all tasks of the large job run, so no work waited");
    // One more plan a second is allowed, for changes that depend on time only.
    assertTrue(
        plansPerJob <= MAX_PLANS_PER_JOB + SUBMIT_INTERVAL_S, plansPerJob + " plans per small job");
  }

  private double plannedRoundCount() {
    SimpleMeterRegistry registry = new SimpleMeterRegistry();
    cluster.leader().bindTo(registry);
    return registry.get("cherryspool.rounds.planned").functionCounter().count();
  }
}
