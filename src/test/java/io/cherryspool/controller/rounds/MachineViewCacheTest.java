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

/** Whether planning sees a machine as it is now. */
class MachineViewCacheTest {
  private static final Duration NOW = Duration.ofSeconds(100);
  private static final Duration MAX_SILENCE = Duration.ofSeconds(5);
  private static final Duration HALF_LEASE = Duration.ofSeconds(8);

  /** A job waits no longer beside a machine that fits. */
  private static final Duration USERS_WAIT = Duration.ofSeconds(90);

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

  /** The machine's heartbeat comes and is answered. */
  private void report(long sequence, Duration now) {
    WorkerHeartbeat heartbeat = heartbeat(sequence);
    fleet.accept(heartbeat, now);
    fleet.get("host-1").contact().recordReply(heartbeat, tokens.current(), now);
  }

  private ClusterView.MachineView only(MachineType type) {
    return only(type, NOW);
  }

  private ClusterView.MachineView only(MachineType type, Duration now) {
    List<ClusterView.MachineView> machines = views.schedulableMachines(List.of(type), now);
    assertEquals(1, machines.size());
    return machines.get(0);
  }

  /** Heartbeats alone do not renew the view of a machine, and prices change all the time. */
  @Test
  void aMachinesViewHasTheNewestPriceAndIsOtherwiseKept() {
    fleet.accept(heartbeat(1), NOW);
    MachineType first = box(0.1);
    ClusterView.MachineView seen = only(first);
    assertSame(first, seen.type());
    assertSame(seen, only(first));
    MachineType dearer = box(0.2);
    assertSame(dearer, only(dearer).type());
  }

  /**
   * A job of which tasks fail now and then once waited for minutes beside the only machines with
   * room, since each failure kept the whole job from its machine for two more minutes. Seen in seed
   * 237 of the random faults: tasks of req-000086 failed on each of three machines, two of 64 and
   * one later, and for 90 s the log said {@code round: job=req-000086 placed=0 over-quota=0
   * unschedulable=8 cause=excluded-machine}, beside an idle machine. Users accept 90 s.
   */
  @Test
  void aFailureKeepsAJobFromAMachineForLessThanUsersWait() {
    MachineType type = box(0.1);
    report(1, NOW);
    MachineState machine = fleet.get("host-1");
    machine.history().recordJobFailure("req-000001", NOW);
    machine.invalidateView();
    assertEquals(Set.of("req-000001"), only(type).excludedJobs());
    Duration secondFailure = NOW.plusSeconds(50);
    report(2, secondFailure);
    machine.history().recordJobFailure("req-000001", secondFailure);
    machine.invalidateView();
    Duration beforeUsersComplain = NOW.plus(USERS_WAIT).minus(TIME_TO_PLACE);
    report(3, beforeUsersComplain);
    assertEquals(Set.of(), only(type, beforeUsersComplain).excludedJobs());
    machine.history().recordJobFailure("req-000001", beforeUsersComplain);
    machine.invalidateView();
    assertEquals(Set.of("req-000001"), only(type, beforeUsersComplain).excludedJobs());
  }
}
