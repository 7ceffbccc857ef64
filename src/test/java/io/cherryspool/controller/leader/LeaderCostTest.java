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
 * Tests that unchanged heartbeats cost the leader little. They are its most frequent event: a
 * thousand machines send hundreds of them per second. The tests count bytes and rounds instead of
 * measuring time.
 */
class LeaderCostTest {
  private static final String MACHINE = "host-000001";
  private static final int TASKS = 2;
  private static final int WARM_UP = 3000;
  private static final int HEARTBEATS = 1000;
  private static final long MAX_ALLOCATED_BYTES_PER_HEARTBEAT = 8_000;
  private static final int MACHINES = 5000;
  private static final long MAX_RETAINED_BYTES_PER_MACHINE = 1_800;
  private static final int SENDING_MACHINES = 50;
  private static final Duration QUIET_PERIOD = Duration.ofSeconds(20);

  private final LeaderTermFixture leader = new LeaderTermFixture();

  private List<byte[]> heartbeats(int count) {
    List<byte[]> result = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      result.add(leader.nextHeartbeat(MACHINE, TASKS));
    }
    return result;
  }

  @Test
  void handlingAnUnchangedHeartbeatAllocatesLittle() {
    heartbeats(WARM_UP).forEach(leader::answerHeartbeat);
    List<byte[]> unchanged = heartbeats(HEARTBEATS);
    long bytes =
        HeapMeter.allocatedBytes(() -> unchanged.forEach(leader::answerHeartbeat)) / HEARTBEATS;
    assertTrue(bytes <= MAX_ALLOCATED_BYTES_PER_HEARTBEAT, bytes + " bytes per heartbeat");
  }

  @Test
  void anUnchangedHeartbeatSchedulesNoEventLoopTask() {
    leader.answerHeartbeat(leader.nextHeartbeat(MACHINE, TASKS));
    leader.advance(Duration.ofMillis(100));
    int before = leader.scheduledTasks();
    heartbeats(HEARTBEATS).forEach(leader::answerHeartbeat);
    assertEquals(before, leader.scheduledTasks());
    leader.answerHeartbeat(leader.nextHeartbeat(MACHINE, TASKS + 1));
    assertEquals(before + 1, leader.scheduledTasks(), "a changed heartbeat schedules a round");
  }

  /** No machine has room for the waiting job, so each round has something to plan. */
  @Test
  void unchangedHeartbeatsCauseNoMoreRoundsThanTheMaximumInterval() {
    leader.recordJob(JobFixture.job("req-000002", Priority.NORMAL, 1, 1000));
    for (int i = 0; i < SENDING_MACHINES; i++) {
      Duration first =
          LeaderTermFixture.HEARTBEAT_INTERVAL.multipliedBy(i).dividedBy(SENDING_MACHINES);
      sendRegularly("host-" + i, first);
    }
    leader.advance(QUIET_PERIOD);
    int before = leader.clockReadings();
    leader.advance(QUIET_PERIOD);
    int rounds = leader.clockReadings() - before;
    long maxRounds = QUIET_PERIOD.dividedBy(LeaderTermFixture.MAX_ROUND_INTERVAL);
    assertTrue(rounds > 0, "rounds plan for the waiting job");
    assertTrue(rounds <= maxRounds, rounds + " rounds");
  }

  private void sendRegularly(String machine, Duration delay) {
    leader
        .time()
        .schedule(
            delay,
            () -> {
              leader.answerHeartbeat(leader.nextHeartbeat(machine, 0));
              sendRegularly(machine, LeaderTermFixture.HEARTBEAT_INTERVAL);
            });
  }

  @Test
  void aMachineRetainsLittleMemory() {
    long bytes = HeapMeter.retainedBytes(this::fleet) / MACHINES;
    assertTrue(bytes <= MAX_RETAINED_BYTES_PER_MACHINE, bytes + " bytes per machine");
  }

  /** Returns a fleet in which each machine has sent a heartbeat with its tasks. */
  private Fleet fleet() {
    Fleet fleet = new Fleet();
    for (int i = 0; i < MACHINES; i++) {
      fleet.recordHeartbeat(parse(leader.nextHeartbeat("host-" + i, TASKS)), Duration.ZERO);
    }
    return fleet;
  }

  private static WorkerHeartbeat parse(byte[] heartbeat) {
    try {
      return WorkerProtocol.parseHeartbeat(Json.parseObject(heartbeat));
    } catch (MalformedMessageException e) {
      throw new AssertionError(e);
    }
  }
}
