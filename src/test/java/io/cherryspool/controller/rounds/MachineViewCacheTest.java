package io.cherryspool.controller.rounds;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertSame;

import io.cherryspool.controller.fleet.Fleet;
import io.cherryspool.controller.fleet.MachineState;
import io.cherryspool.controller.ownership.FencingTokenSource;
import io.cherryspool.controller.ownership.Ownership;
import io.cherryspool.controller.ownership.StopRequests;
import io.cherryspool.controller.release.CrashLoopBackoff;
import io.cherryspool.controller.release.PendingReleases;
import io.cherryspool.model.MachineType;
import io.cherryspool.model.Resources;
import io.cherryspool.model.WorkerHeartbeat;
import io.cherryspool.scheduler.ClusterView;
import java.time.Duration;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Tests that cached views show the current state of the machines. */
class MachineViewCacheTest {
  private static final Duration NOW = Duration.ofSeconds(100);
  private static final Duration MAX_SILENCE = Duration.ofSeconds(5);
  private static final Duration HALF_LEASE = Duration.ofSeconds(8);

  /** The longest time that users accept for a job to wait while a suitable machine has room. */
  private static final Duration MAX_ACCEPTED_WAIT = Duration.ofSeconds(90);

  private static final Duration TIME_TO_PLACE = Duration.ofSeconds(10);

  private final FencingTokenSource tokens = new FencingTokenSource(5);
  private final Fleet fleet = new Fleet();
  private final MachineViewCache views =
      new MachineViewCache(
          tokens,
          fleet,
          new TaskTracking(
              new Ownership(null),
              new PendingReleases(),
              new StopRequests(),
              new CrashLoopBackoff(),
              TaskAdoption.NONE),
          MAX_SILENCE,
          HALF_LEASE);

  private static MachineType box(double spotPrice) {
    return new MachineType(
        "box",
        new Resources(4, 0, 8),
        30,
        0.8,
        0.27,
        spotPrice,
        Duration.ofSeconds(50),
        List.of("a"));
  }

  private WorkerHeartbeat heartbeat(long sequence) {
    return new WorkerHeartbeat(
        "host-1", "10.0.0.1:1", "box", "a", true, 1, sequence, tokens.current(), null, List.of());
  }

  /** Accepts a heartbeat of the machine and replies to it. */
  private void exchangeHeartbeat(long sequence, Duration now) {
    WorkerHeartbeat heartbeat = heartbeat(sequence);
    fleet.recordHeartbeat(heartbeat, now);
    fleet.get("host-1").contact().recordReply(heartbeat, tokens.current(), now);
  }

  private ClusterView.MachineView onlyMachine(MachineType type) {
    return onlyMachine(type, NOW);
  }

  private ClusterView.MachineView onlyMachine(MachineType type, Duration now) {
    List<ClusterView.MachineView> machines = views.schedulableMachines(List.of(type), now);
    assertEquals(1, machines.size());
    return machines.get(0);
  }

  /**
   * Calls without a change of the machine return the same view; a new price, which is frequent,
   * leads to a new view.
   */
  @Test
  void cachedViewIsRenewedOnlyForANewPrice() {
    fleet.recordHeartbeat(heartbeat(1), NOW);
    MachineType first = box(0.1);
    ClusterView.MachineView seen = onlyMachine(first);
    assertSame(first, seen.type());
    assertSame(seen, onlyMachine(first));
    MachineType moreExpensive = box(0.2);
    assertSame(moreExpensive, onlyMachine(moreExpensive).type());
  }

  /**
   * Guards against a job that waits for minutes although suitable machines have room: each failure
   * of a task once excluded the whole job from the machine for two more minutes. Observed with seed
   * 237 of the random faults: tasks of req-000086 failed on each of three machines (two of 64 tasks
   * at first, and one later), and for 90 s rounds logged {@code round: job=req-000086 placed=0
   * over-quota=0 unschedulable=8 cause=excluded-machine} although a machine was idle. Users accept
   * waits of 90 s.
   */
  @Test
  void failureExcludesAJobFromAMachineForLessThanUsersWait() {
    MachineType type = box(0.1);
    exchangeHeartbeat(1, NOW);
    MachineState machine = fleet.get("host-1");
    machine.history().recordJobFailure("req-000001", NOW);
    machine.invalidateView();
    assertEquals(Set.of("req-000001"), onlyMachine(type).excludedJobs());
    Duration secondFailure = NOW.plusSeconds(50);
    exchangeHeartbeat(2, secondFailure);
    machine.history().recordJobFailure("req-000001", secondFailure);
    machine.invalidateView();
    Duration latestPlacementTime = NOW.plus(MAX_ACCEPTED_WAIT).minus(TIME_TO_PLACE);
    exchangeHeartbeat(3, latestPlacementTime);
    assertEquals(Set.of(), onlyMachine(type, latestPlacementTime).excludedJobs());
    machine.history().recordJobFailure("req-000001", latestPlacementTime);
    machine.invalidateView();
    assertEquals(Set.of("req-000001"), onlyMachine(type, latestPlacementTime).excludedJobs());
  }
}
