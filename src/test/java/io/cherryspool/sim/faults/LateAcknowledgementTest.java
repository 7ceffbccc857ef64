package io.cherryspool.sim.faults;

import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cherryspool.model.FencingToken;
import io.cherryspool.model.Job;
import io.cherryspool.sim.cluster.DirectedFaultsFixture;
import io.cherryspool.sim.cluster.SimulatedController;
import io.cherryspool.sim.fakes.FakeWorker;
import io.cherryspool.wire.Json;
import io.cherryspool.wire.MalformedMessageException;
import java.time.Duration;
import java.util.Comparator;
import java.util.List;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Checks the rules when machines acknowledge the token of a new leader late. */
class LateAcknowledgementTest extends DirectedFaultsFixture {
  private static final Duration COMMAND_DELAY = Duration.ofSeconds(9);
  private static final Duration UNREACHABLE_TIME = Duration.ofSeconds(40);
  private static final double MUTED_BEFORE_COMMAND_S = 0.4;
  private static final double COMPLETIONS_BEGIN_S = 15;
  private static final int COMPLETIONS = 3;
  private static final int TASKS = 22;
  private static final long SWEEP_SEEDS = 300;

  /**
   * Guards against starting a task elsewhere while it runs under a lease that an earlier leader has
   * renewed within the new leader's term: the machine acknowledged the new term only after that.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6})
  void taskStaysOwnedWhileLeaseRenewedByEarlierLeaderRuns(long seed) throws Exception {
    startCluster(seed, 3);
    Job job = submit("blue", TASKS, 1, LONG_RUN_TIME);
    awaitRunning(job, TASKS);
    FakeWorker victim = busiestWorker();
    SimulatedController oldLeader = cluster.leader();
    cluster.network().commandDelays().begin(host -> true, () -> COMMAND_DELAY);
    oldLeader.isolate(Duration.ofSeconds(60));
    awaitLeaderOtherThan(oldLeader, 0.001);
    Duration termStart = cluster.time().now();
    // The new leader reads the list of machines first, but cannot delete any machine afterwards.
    cluster.schedule(1, () -> cluster.cloud().setDown(true));
    cluster.run(COMMAND_DELAY.toSeconds() - MUTED_BEFORE_COMMAND_S);
    cluster.network().dropOutbound(host(victim), UNREACHABLE_TIME);
    cluster.network().commandDelays().end();
    assertTrue(
        victim.leaseRenewedAt().compareTo(termStart.plusSeconds(2)) > 0,
        "the old leader has not renewed the lease in the new term");
    cluster.run(1);
    assertTrue(acknowledgedTerm(victim) > 1, "the machine has not accepted the new token");
    cluster.run(COMPLETIONS_BEGIN_S - COMMAND_DELAY.toSeconds());
    // A stop of tasks that were wrongly taken as ended would hide that they still run.
    cluster.network().commandDelays().begin(host(victim)::equals, () -> COMMAND_DELAY);
    for (int i = 0; i < COMPLETIONS; i++) {
      // Each change has the new leader examine the machine's tasks.
      victim.completeOneTask();
      cluster.run(1);
    }
    cluster.run(COMMAND_DELAY);
    cluster.network().commandDelays().end();
    cluster.cloud().setDown(false);
    cluster.run(240);
    assertAllEnded(List.of(job));
  }

  /** Draws the delays and times of the faults that meet in the test above. */
  @Test
  void rulesHoldInSeededRuns() {
    long lateRenewals = 0;
    for (long seed : LongStream.rangeClosed(1, SWEEP_SEEDS).toArray()) {
      LateAcknowledgementRun run = new LateAcknowledgementRun(seed);
      try {
        run.run();
      } catch (AssertionError violation) {
        throw new AssertionError("seed " + seed + ": " + violation.getMessage(), violation);
      }
      lateRenewals += run.hasLateRenewal() ? 1 : 0;
    }
    assertTrue(lateRenewals > SWEEP_SEEDS / 5, "the faults met only in " + lateRenewals + " runs");
  }

  private FakeWorker busiestWorker() {
    return cluster.workers().stream()
        .max(Comparator.comparingInt(worker -> worker.runningTasks().size()))
        .orElseThrow();
  }

  private static long acknowledgedTerm(FakeWorker worker) throws MalformedMessageException {
    return FencingToken.term(Json.parseObject(worker.heartbeatBody()).path("baton").longValue());
  }
}
