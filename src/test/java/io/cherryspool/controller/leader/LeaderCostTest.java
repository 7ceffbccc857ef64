package io.cherryspool.controller.leader;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cherryspool.controller.fleet.Fleet;
import io.cherryspool.model.JobFixture;
import io.cherryspool.model.Priority;
import io.cherryspool.model.WorkerHeartbeat;
import io.cherryspool.sim.driver.HeapMeter;
import io.cherryspool.wire.Json;
import io.cherryspool.wire.MalformedMessageException;
import io.cherryspool.wire.WorkerProtocol;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * What the leader may use for what happens most: reports without news, of which a thousand machines
 * send hundreds a second. Bytes and rounds are counted, and no time is taken.
 */
class LeaderCostTest {
  private static final String MACHINE = "host-000001";
  private static final int TASKS = 2;
  private static final int WARM_UP = 3000;
  private static final int REPORTS = 1000;
  private static final long MOST_ALLOCATED_PER_REPORT = 8_000;
  private static final int MACHINES = 5000;
  private static final long MOST_KEPT_PER_MACHINE = 1_800;
  private static final int REPORTING = 50;
  private static final Duration QUIET = Duration.ofSeconds(20);

  private final LeaderTermFixture leader = new LeaderTermFixture();

  private List<byte[]> reports(int count) {
    List<byte[]> result = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      result.add(leader.written(MACHINE, TASKS));
    }
    return result;
  }

  @Test
  void anUnchangedReportAllocatesLittle() {
    reports(WARM_UP).forEach(leader::report);
    List<byte[]> unchanged = reports(REPORTS);
    long bytes = HeapMeter.allocatedBytes(() -> unchanged.forEach(leader::report)) / REPORTS;
    assertTrue(bytes <= MOST_ALLOCATED_PER_REPORT, bytes + " bytes a report");
  }

  @Test
  void anUnchangedReportPutsNothingOnTheEventLoop() {
    leader.report(leader.written(MACHINE, TASKS));
    leader.run(Duration.ofMillis(100));
    int before = leader.scheduled();
    reports(REPORTS).forEach(leader::report);
    assertEquals(before, leader.scheduled());
    leader.report(leader.written(MACHINE, TASKS + 1));
    assertEquals(before + 1, leader.scheduled(), "news starts a round");
  }

  /** A job waits for room that there is not, so that each round has something to plan. */
  @Test
  void roundsWithoutNewsAreNoMoreThanTheLongestWaitAsksFor() {
    leader.accept(JobFixture.job("req-000002", Priority.NORMAL, 1, 1000));
    for (int i = 0; i < REPORTING; i++) {
      Duration first = LeaderTermFixture.REPORT.multipliedBy(i).dividedBy(REPORTING);
      reportRegularly("host-" + i, first);
    }
    leader.run(QUIET);
    int before = leader.wallReadings();
    leader.run(QUIET);
    int rounds = leader.wallReadings() - before;
    long most = QUIET.dividedBy(LeaderTermFixture.ROUND_MAX);
    assertTrue(rounds > 0, "the job is planned for");
    assertTrue(rounds <= most, rounds + " rounds");
  }

  private void reportRegularly(String machine, Duration delay) {
    leader
        .time()
        .schedule(
            delay,
            () -> {
              leader.report(leader.written(machine, 0));
              reportRegularly(machine, LeaderTermFixture.REPORT);
            });
  }

  @Test
  void aMachineKeepsLittle() {
    long bytes = HeapMeter.retainedBytes(this::fleet) / MACHINES;
    assertTrue(bytes <= MOST_KEPT_PER_MACHINE, bytes + " bytes a machine");
  }

  /** Each machine has reported what it runs. */
  private Fleet fleet() {
    Fleet fleet = new Fleet();
    for (int i = 0; i < MACHINES; i++) {
      fleet.accept(parsed(leader.written("host-" + i, TASKS)), Duration.ZERO);
    }
    return fleet;
  }

  private static WorkerHeartbeat parsed(byte[] written) {
    try {
      return WorkerProtocol.parseHeartbeat(Json.parseObject(written));
    } catch (MalformedMessageException e) {
      throw new AssertionError(e);
    }
  }
}
