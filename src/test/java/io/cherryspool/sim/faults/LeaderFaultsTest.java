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

/**
 * Checks combinations of faults with changes of the leader. The rules are checked after each event.
 */
class LeaderFaultsTest extends DirectedFaultsFixture {

  /**
   * A leader is cut off from the state store and the other controllers, but not from workers and
   * users. Another leader is elected, and a user cancels a job through it.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6})
  void cancelThroughNewLeaderEndsTasksWhileWorkersStillReachOldLeader(long seed) {
    startCluster(seed, 3 + (int) seed % 3);
    Job job = submit("blue", 12, 4, LONG_RUN_TIME);
    awaitRunning(job, 12);
    SimulatedController oldLeader = cluster.leader();
    oldLeader.isolate(Duration.ofSeconds(45));
    SimulatedController newLeader = awaitLeaderOtherThan(oldLeader, 0.001);
    assertTrue(
        oldLeader.isLeader(), "the old leader is no longer leader and does not answer workers");
    cluster.users().cancel(job.id(), newLeader.address());
    cluster.run(0.2);
    assertTrue(cluster.rules().isCancelConfirmed(job.id()));
    cluster.run(SimulatedCluster.CANCEL_LIMIT.plusMillis(100));
    assertEquals(0, cluster.fleet().runningTaskCount(job));
    cluster.run(40);
  }

  /**
   * Three machines with long tasks cannot receive, cannot open connections, or are cut off from all
   * controllers when the leader crashes.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
  void jobEndsAfterLeaderCrashWhileSomeOfItsMachinesAreUnreachable(long seed) {
    Job job = startClusterWithJob(seed, 16, Duration.ofSeconds(40), 16);
    List<FakeWorker> unreachableWorkers =
        cluster.fleet().workersRunning(job).stream().limit(3).toList();
    Duration length = Duration.ofSeconds(8 + 4 * seed);
    cluster.network().dropInbound(host(unreachableWorkers.get(0)), length);
    cluster.network().dropOutbound(host(unreachableWorkers.get(1)), length);
    for (SimulatedController node : cluster.nodes()) {
      cluster.network().cut(node.address().host(), host(unreachableWorkers.get(2)), length);
    }
    cluster.run(0.5);
    SimulatedController oldLeader = cluster.leader();
    oldLeader.crash(Duration.ofSeconds(30));
    cluster.run(8);
    assertNotEquals(oldLeader.name(), cluster.leader().name());
    cluster.run(120);
    assertAllEnded(List.of(job));
  }

  /**
   * The leader is cut off from the workers and hands over, and its successor is cut off from the
   * workers too. Within a second all controllers crash. The first leader restarts within another
   * second, the other controllers after 20 s.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6})
  void jobsEndAfterHandoverAndCrashOfAllControllers(long seed) {
    TwoJobs jobs = startClusterWithTwoJobs(seed, 16, Duration.ofSeconds(60), 16);
    cluster.run(10);
    SimulatedController firstLeader = cluster.leader();
    cluster.cutLeaderFromWorkers(Duration.ofSeconds(14));
    cluster.run(15);
    assertNotEquals(firstLeader.name(), cluster.leader().name(), "the leader has not handed over");
    cluster.cutLeaderFromWorkers(Duration.ofSeconds(9));
    cluster.users().cancel(jobs.cancelled().id());
    cluster.run(0.1 * seed);
    for (SimulatedController node : cluster.nodes()) {
      node.crash(
          node == firstLeader ? Duration.ofMillis(100 + 130 * seed) : Duration.ofSeconds(20));
    }
    cluster.run(12);
    assertEquals(
        firstLeader.name(),
        cluster.leader().name(),
        "the controller that restarted first is not leader");
    cluster.run(90);
    assertAllEnded(jobs.all());
  }

  /** The leader crashes ten times in two minutes, once during an outage of the state store. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4})
  void jobsEndAfterTenLeaderCrashesInTwoMinutes(long seed) {
    TwoJobs jobs = startClusterWithTwoJobs(seed, 24, Duration.ofSeconds(35), 8);
    cluster.schedule(40 + seed, () -> cluster.takeStateStoreDown(Duration.ofSeconds(15)));
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

  /**
   * All controllers are down for longer than a worker lease. Afterwards the job is resumed and
   * completes.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4})
  void jobEndsAfterAllControllersWereDownForLongerThanALease(long seed) {
    Job job = startClusterWithJob(seed, 16, Duration.ofSeconds(30), 16);
    long expiredLeasesBefore = cluster.fleet().expiredLeaseCount();
    cluster
        .nodes()
        .forEach(node -> node.crash(SimulatedCluster.LEASE.plusSeconds(4).plusMillis(300 * seed)));
    cluster.run(SimulatedCluster.LEASE.plusSeconds(3));
    assertTrue(
        cluster.fleet().expiredLeaseCount() > expiredLeasesBefore, "no worker lease has expired");
    assertFalse(cluster.rules().hasEnded(job.id()));
    cluster.run(100);
    assertAllEnded(List.of(job));
  }

  /**
   * A zone with workers and a controller, for some seeds the leader, is cut off for longer than a
   * worker lease.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6})
  void jobsEndAfterZoneWasCutOffForLongerThanALease(long seed) {
    TwoJobs jobs = startClusterWithTwoJobs(seed, 16, Duration.ofSeconds(40), 8);
    awaitRunning(jobs.cancelled(), 4);
    String zone =
        seed % 2 == 0 ? cluster.leader().zone() : SimulatedCluster.ZONES.get((int) seed % 3);
    cluster.network().cutZone(zone, SimulatedCluster.LEASE.plusSeconds(5 + 5 * seed));
    cluster.run(2);
    SimulatedController nodeOutsideZone =
        cluster.nodes().stream()
            .filter(node -> !node.zone().equals(zone))
            .findFirst()
            .orElseThrow();
    cluster.users().cancel(jobs.cancelled().id(), nodeOutsideZone.address());
    cluster.run(140);
    assertAllEnded(jobs.all());
  }

  /**
   * Jobs whose tasks must run in a given zone, or all in the same zone, lose machines while the
   * leader crashes.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4})
  void zoneBoundJobsEndAfterLosingMachinesAndLeader(long seed) {
    startCluster(seed, 3);
    String zone = SimulatedCluster.ZONES.get((int) seed % 3);
    Job givenZoneJob =
        cluster.jobs().createZoneBound("blue", 6, 4, Duration.ofSeconds(15), zone, false);
    Job singleZoneJob =
        cluster.jobs().createZoneBound("red", 6, 4, Duration.ofSeconds(15), null, true);
    cluster.users().submit(givenZoneJob);
    cluster.users().submit(singleZoneJob);
    awaitRunning(givenZoneJob, 2);
    awaitRunning(singleZoneJob, 2);
    cluster.fleet().workersRunning(givenZoneJob).forEach(FakeWorker::kill);
    cluster.fleet().workersRunning(singleZoneJob).stream().limit(1).forEach(FakeWorker::kill);
    cluster.leader().crash(Duration.ofMillis(200 * seed));
    cluster.run(150);
    assertAllEnded(List.of(givenZoneJob, singleZoneJob));
  }

  /**
   * A leader is cut off together with its zone and continues to renew the leases of the machines
   * there, while the cloud cannot delete machines. Only elapsed time then proves that their tasks
   * have ended: the next leader must wait until the old leader may no longer renew leases, and then
   * for the length of a worker lease.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6})
  void jobEndsAfterLeaderWasCutOffWithItsZoneDuringCloudOutage(long seed) {
    Job job = startClusterWithJob(seed, 20, LONG_RUN_TIME, 18);
    SimulatedController oldLeader = cluster.leader();
    cluster.network().cutZone(oldLeader.zone(), Duration.ofSeconds(60));
    awaitLeaderOtherThan(oldLeader, 0.01);
    // The new leader has time to read the list of machines before the cloud outage, but cannot
    // delete any machine during the outage.
    cluster.run(0.8 + 0.2 * seed);
    cluster.cloud().setDown(true);
    cluster.run(4);
    List<FakeWorker> workersInZone =
        cluster.fleet().workersRunning(job).stream()
            .filter(worker -> worker.machine().zone().equals(oldLeader.zone()))
            .toList();
    assertFalse(workersInZone.isEmpty(), "no task of the job runs in the zone that is cut off");
    cluster.run(45);
    cluster.cloud().setDown(false);
    cluster.run(300);
    assertAllEnded(List.of(job));
  }
}
