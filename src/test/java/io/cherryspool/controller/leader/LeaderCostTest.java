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
 * What the leader may use for what happens most: heartbeats without news, of which a thousand
 * machines send hundreds a second. Bytes and rounds are counted, and no time is taken.
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
  private static final Duration QUIET = Duration.ofSeconds(20);

  private final LeaderTermFixture leader = new LeaderTermFixture();

  private List<byte[]> heartbeats(int count) {
    List<byte[]> result = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      result.add(leader.nextHeartbeat(MACHINE, TASKS));
    }
    return result;
  }

  @Test
  void anUnchangedHeartbeatAllocatesLittle() {
    heartbeats(WARM_UP).forEach(leader::send);
    List<byte[]> unchanged = heartbeats(HEARTBEATS);
    long bytes = HeapMeter.allocatedBytes(() -> unchanged.forEach(leader::send)) / HEARTBEATS;
    assertTrue(bytes <= MAX_ALLOCATED_BYTES_PER_HEARTBEAT, bytes + " bytes a heartbeat");
  }

  @Test
  void anUnchangedHeartbeatPutsNothingOnTheEventLoop() {
    leader.send(leader.nextHeartbeat(MACHINE, TASKS));
    leader.run(Duration.ofMillis(100));
    int before = leader.scheduledTasks();
    heartbeats(HEARTBEATS).forEach(leader::send);
    assertEquals(before, leader.scheduledTasks());
    leader.send(leader.nextHeartbeat(MACHINE, TASKS + 1));
    assertEquals(before + 1, leader.scheduledTasks(), "news starts a round");
  }

  /** No machine fits the waiting job, so that each round has something to plan. */
  @Test
  void roundsWithoutNewsAreNoMoreThanTheLongestIntervalAsksFor() {
    leader.accept(JobFixture.job("req-000002", Priority.NORMAL, 1, 1000));
    for (int i = 0; i < SENDING_MACHINES; i++) {
      Duration first =
          LeaderTermFixture.HEARTBEAT_INTERVAL.multipliedBy(i).dividedBy(SENDING_MACHINES);
      sendRegularly("host-" + i, first);
    }
    leader.run(QUIET);
    int before = leader.clockReadings();
    leader.run(QUIET);
    int rounds = leader.clockReadings() - before;
    long most = QUIET.dividedBy(LeaderTermFixture.MAX_ROUND_INTERVAL);
    assertTrue(rounds > 0, "the job is planned for");
    assertTrue(rounds <= most, rounds + " rounds");
  }

  private void sendRegularly(String machine, Duration delay) {
    leader
        .time()
        .schedule(
            delay,
            () -> {
              leader.send(leader.nextHeartbeat(machine, 0));
              sendRegularly(machine, LeaderTermFixture.HEARTBEAT_INTERVAL);
            });
  }

  @Test
  void aMachineRetainsLittle() {
    long bytes = HeapMeter.retainedBytes(this::fleet) / MACHINES;
    assertTrue(bytes <= MAX_RETAINED_BYTES_PER_MACHINE, bytes + " bytes a machine");
  }

  /** A fleet of which each machine has sent a heartbeat with its tasks. */
  private Fleet fleet() {
    Fleet fleet = new Fleet();
    for (int i = 0; i < MACHINES; i++) {
      fleet.accept(parsed(leader.nextHeartbeat("host-" + i, TASKS)), Duration.ZERO);
    }
    return fleet;
  }

  private static WorkerHeartbeat parsed(byte[] heartbeat) {
    try {
      return WorkerProtocol.parseHeartbeat(Json.parseObject(heartbeat));
    } catch (MalformedMessageException e) {
      throw new AssertionError(e);
    }
  }
}
