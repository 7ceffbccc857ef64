package io.cherryspool.sim.faults;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cherryspool.model.Job;
import io.cherryspool.sim.cluster.DirectedFaultsFixture;
import io.cherryspool.sim.cluster.SimulatedCluster;
import io.cherryspool.sim.cluster.SimulatedController;
import io.cherryspool.sim.fakes.FakeWorker;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Combined faults in which leaders come and go; the rules are checked after every step. */
class LeaderFaultsTest extends DirectedFaultsFixture {

  /** Workers and users still reach the leader that reaches nobody; another is elected. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6})
  void jobsAreCancelledThroughTheNextLeaderWhileTheOldOneIsStillReached(long seed) {
    startCluster(seed, 3 + (int) seed % 3);
    Job job = submit("blue", 12, 4, LONG_RUN_TIME);
    awaitRunning(job, 12);
    SimulatedController old = cluster.leader();
    old.isolate(Duration.ofSeconds(45));
    SimulatedController next = awaitLeaderOtherThan(old, 0.001);
    assertTrue(old.isLeader(), "the old one still answers its workers");
    cluster.users().cancel(job.id(), next.address());
    cluster.run(0.2);
    assertTrue(cluster.rules().isCancelConfirmed(job.id()));
    cluster.run(SimulatedCluster.CANCEL_LIMIT.plusMillis(100));
    assertEquals(0, cluster.fleet().runningTaskCount(job));
    cluster.run(40);
  }

  /** Machines with long tasks can't be reached, or don't receive the next leader's answers. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
  void aLeaderEndsWhileMachinesWithLongTasksCannotBeAsked(long seed) {
    Job job = startClusterWithJob(seed, 16, Duration.ofSeconds(40), 16);
    List<FakeWorker> lost = cluster.fleet().workersRunning(job).stream().limit(3).toList();
    Duration length = Duration.ofSeconds(8 + 4 * seed);
    cluster.network().dropInbound(host(lost.get(0)), length);
    cluster.network().dropOutbound(host(lost.get(1)), length);
    for (SimulatedController node : cluster.nodes()) {
      cluster.network().cut(node.address().host(), host(lost.get(2)), length);
    }
    cluster.run(0.5);
    SimulatedController old = cluster.leader();
    old.crash(Duration.ofSeconds(30));
    cluster.run(8);
    assertNotEquals(old.name(), cluster.leader().name());
    cluster.run(120);
    assertAllEnded(List.of(job));
  }

  /** Hand over and back, all end, one returns, within a second. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6})
  void controllersHandOverAndBackThenAllEndAndOneReturns(long seed) {
    TwoJobs jobs = startClusterWithTwoJobs(seed, 16, Duration.ofSeconds(60), 16);
    cluster.run(10);
    SimulatedController first = cluster.leader();
    cluster.cutLeaderFromWorkers(Duration.ofSeconds(14));
    cluster.run(15);
    assertNotEquals(first.name(), cluster.leader().name(), "handed over");
    cluster.cutLeaderFromWorkers(Duration.ofSeconds(9));
    cluster.users().cancel(jobs.cancelled().id());
    cluster.run(0.1 * seed);
    for (SimulatedController node : cluster.nodes()) {
      node.crash(node == first ? Duration.ofMillis(100 + 130 * seed) : Duration.ofSeconds(20));
    }
    cluster.run(12);
    assertEquals(first.name(), cluster.leader().name(), "the one that returned");
    cluster.run(90);
    assertAllEnded(jobs.all());
  }

  /** Ten in two minutes, some of the changes inside an outage of the state store. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4})
  void leadersChangeTenTimesInTwoMinutes(long seed) {
    TwoJobs jobs = startClusterWithTwoJobs(seed, 24, Duration.ofSeconds(35), 8);
    cluster.schedule(40 + seed, () -> cluster.stateStoreOutage(Duration.ofSeconds(15)));
    cluster.schedule(45, () -> cluster.users().cancel(jobs.cancelled().id()));
    for (int i = 0; i < 10; i++) {
      cluster.schedule(
          12 * i,
          () ->
              cluster
                  .currentLeader()
                  .orElse(cluster.nodes().get(0))
                  .crash(Duration.ofMillis(100 + 400 * seed)));
    }
    cluster.run(125);
    cluster.run(90);
    assertAllEnded(jobs.all());
  }

  /** For longer than a worker's lease nobody answers; then all is taken up again. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4})
  void allControllersAreAwayForLongerThanALease(long seed) {
    Job job = startClusterWithJob(seed, 16, Duration.ofSeconds(30), 16);
    long before = cluster.fleet().expiredLeaseCount();
    cluster
        .nodes()
        .forEach(node -> node.crash(SimulatedCluster.LEASE.plusSeconds(4).plusMillis(300 * seed)));
    cluster.run(SimulatedCluster.LEASE.plusSeconds(3));
    assertTrue(cluster.fleet().expiredLeaseCount() > before, "their tasks are gone");
    assertFalse(cluster.rules().hasEnded(job.id()));
    cluster.run(100);
    assertAllEnded(List.of(job));
  }

  /** A zone with workers and a controller, the leader in some of the days, is away for long. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6})
  void aZoneIsCutOffForLongerThanALease(long seed) {
    TwoJobs jobs = startClusterWithTwoJobs(seed, 16, Duration.ofSeconds(40), 8);
    awaitRunning(jobs.cancelled(), 4);
    String zone =
        seed % 2 == 0 ? cluster.leader().zone() : SimulatedCluster.ZONES.get((int) seed % 3);
    cluster.network().cutZone(zone, SimulatedCluster.LEASE.plusSeconds(5 + 5 * seed));
    cluster.run(2);
    SimulatedController outside =
        cluster.nodes().stream()
            .filter(node -> !node.zone().equals(zone))
            .findFirst()
            .orElseThrow();
    cluster.users().cancel(jobs.cancelled().id(), outside.address());
    cluster.run(140);
    assertAllEnded(jobs.all());
  }

  /** Jobs that may run in one zone only, arrays too, lose the machines there with the leader. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4})
  void jobsBoundToOneZoneLoseMachines(long seed) {
    startCluster(seed, 3);
    String zone = SimulatedCluster.ZONES.get((int) seed % 3);
    Job bound = cluster.jobs().createZoneBound("blue", 6, 4, Duration.ofSeconds(15), zone, false);
    Job together = cluster.jobs().createZoneBound("red", 6, 4, Duration.ofSeconds(15), null, true);
    cluster.users().submit(bound);
    cluster.users().submit(together);
    awaitRunning(bound, 2);
    awaitRunning(together, 2);
    cluster.fleet().workersRunning(bound).forEach(FakeWorker::kill);
    cluster.fleet().workersRunning(together).stream().limit(1).forEach(FakeWorker::kill);
    cluster.leader().crash(Duration.ofMillis(200 * seed));
    cluster.run(150);
    assertAllEnded(List.of(bound, together));
  }

  /**
   * A leader is cut off with its zone and keeps the machines there alive as long as it may, while
   * the cloud deletes nothing: only time proves their tasks gone, so the next leader has to wait
   * for the authority of the first to end, and then for the workers' lease.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6})
  void aCutOffLeaderKeepsItsZoneAliveWhileTheCloudIsOut(long seed) {
    Job job = startClusterWithJob(seed, 20, LONG_RUN_TIME, 18);
    SimulatedController old = cluster.leader();
    cluster.network().cutZone(old.zone(), Duration.ofSeconds(60));
    awaitLeaderOtherThan(old, 0.01);
    // It reads the list of machines, and then can delete none.
    cluster.run(0.8 + 0.2 * seed);
    cluster.cloud().setDown(true);
    cluster.run(4);
    List<FakeWorker> kept =
        cluster.fleet().workersRunning(job).stream()
            .filter(worker -> worker.machine().zone().equals(old.zone()))
            .toList();
    assertFalse(kept.isEmpty(), "the zone works on");
    cluster.run(45);
    cluster.cloud().setDown(false);
    cluster.run(300);
    assertAllEnded(List.of(job));
  }
}
