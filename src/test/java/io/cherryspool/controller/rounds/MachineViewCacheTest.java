package io.cherryspool.controller.rounds;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertSame;

import io.cherryspool.controller.fleet.Fleet;
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
import org.junit.jupiter.api.Test;

/** Whether planning sees a machine as it is now. */
class MachineViewCacheTest {
  private static final Duration NOW = Duration.ofSeconds(100);
  private static final Duration MAX_SILENCE = Duration.ofSeconds(5);
  private static final Duration HALF_LEASE = Duration.ofSeconds(8);

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
              Adoption.NONE),
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

  private ClusterView.MachineView only(MachineType type) {
    List<ClusterView.MachineView> machines = views.schedulableMachines(List.of(type), NOW);
    assertEquals(1, machines.size());
    return machines.get(0);
  }

  /** Heartbeats alone do not renew the view of a machine, and prices change all the time. */
  @Test
  void aMachinesViewHasTheNewestPriceAndIsOtherwiseKept() {
    fleet.accept(
        new WorkerHeartbeat(
            "host-1", "10.0.0.1:1", "box", "a", true, 1, 1, tokens.current(), null, List.of()),
        NOW);
    MachineType first = box(0.1);
    ClusterView.MachineView seen = only(first);
    assertSame(first, seen.type());
    assertSame(seen, only(first));
    MachineType dearer = box(0.2);
    assertSame(dearer, only(dearer).type());
  }
}
