package io.cherryspool.sim.faults;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cherryspool.model.Job;
import io.cherryspool.sim.cluster.DirectedFaultsFixture;
import io.cherryspool.sim.cluster.SimulatedCluster;
import io.cherryspool.sim.cluster.SimulatedController;
import io.cherryspool.sim.fakes.FakeWorker;
import java.time.Duration;
import java.util.List;
import java.util.function.BiConsumer;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Checks that tasks of cancelled jobs end within the cancel limit if the leader cannot read the
 * cancel. The state store rejects the requests of the leader only, and another node confirms a
 * cancel. Then the state store is down for all nodes for longer than the cancel limit, while
 * workers continue to send heartbeats to the old leader. The rule checker checks the limit after
 * each event.
 *
 * <p>All tests assert that another node confirms the cancel. All but the last also assert that
 * tasks of the job run at that moment. The first test also asserts that the old leader has not been
 * replaced when the cancel is confirmed, and that it renews leases of the workers afterwards.
 */
class CancelDuringStateOutageTest extends DirectedFaultsFixture {
  private static final Duration OUTAGE = SimulatedCluster.CANCEL_LIMIT.plusSeconds(30);

  private Job job;
  private SimulatedController oldLeader;

  /** Starts a cluster with a job of long-running tasks, and lets them run for at least 20 s. */
  private void startLongRunningTasks(long seed) {
    startClusterAndSubmit(seed, 12);
    cluster.run(20 + seed % 5);
    assertFalse(
        cluster.fleet().workersRunning(job).isEmpty(), "no task of the job runs before the cancel");
  }

  private void startClusterAndSubmit(long seed, int tasks) {
    startCluster(seed, 3);
    oldLeader = cluster.leader();
    job = submit("blue", tasks, 4, Duration.ofSeconds(150));
  }

  /**
   * Cancels the job through a node that the state store does not reject, and waits for the
   * confirmation.
   */
  private void cancelThroughAnotherNode() {
    cancelThrough(cluster.nodeAfter(oldLeader));
  }

  private void cancelThrough(SimulatedController node) {
    cluster.users().cancel(job.id(), node.address());
    awaitCancelConfirmed(job, 0.001, 150);
    assertFalse(
        cluster.fleet().workersRunning(job).isEmpty(),
        "no task of the job runs when the cancel is confirmed");
  }

  /**
   * Takes the state store down until after the cancel limit. Asserts that the old leader still
   * renews leases of workers that run the cancelled tasks.
   */
  private void startOutage() {
    Duration outageStart = cluster.time().now();
    cluster.takeStateStoreDown(OUTAGE);
    cluster.run(10);
    List<FakeWorker> runningWorkers = cluster.fleet().workersRunning(job);
    assertFalse(runningWorkers.isEmpty(), "no task of the job runs during the outage");
    assertTrue(
        runningWorkers.stream()
            .anyMatch(worker -> worker.leaseRenewedAt().compareTo(outageStart) > 0),
        "the old leader renewed no lease of a worker with tasks of the job during the outage");
  }

  /**
   * Asserts that all tasks of the job end within the cancel limit and do not run again after the
   * outage. The rule checker checks the same after each event.
   */
  private void assertTasksEndWithinLimit() {
    Duration limit =
        cluster
            .rules()
            .cancelConfirmedAt(job.id())
            .orElseThrow()
            .plus(SimulatedCluster.CANCEL_LIMIT);
    cluster.run(limit.minus(cluster.time().now()).plusMillis(100));
    assertEquals(
        List.of(),
        cluster.fleet().workersRunning(job),
        "workers that still run tasks of the job after the cancel limit");
    cluster.run(OUTAGE.plusSeconds(20));
    assertEquals(
        List.of(),
        cluster.fleet().workersRunning(job),
        "workers that run tasks of the job again after the outage");
  }

  /**
   * The second value is the time in seconds from the first rejected request to the outage. A new
   * leader is elected after about 4 s.
   */
  @ParameterizedTest
  @CsvSource({
    "1,0.2", "2,0.2", "3,0.5", "4,0.5", "5,1", "6,1.3", "7,1.7", "8,2.1", "9,2.5", "10,2.8"
  })
  void cancelledTasksEndWithinLimitWhenOldLeaderCannotReadTheCancel(
      long seed, double secondsToOutage) {
    startLongRunningTasks(seed);
    oldLeader.rejectStateStoreRequests(Duration.ofSeconds(14));
    cluster.run(secondsToOutage / 2);
    cancelThroughAnotherNode();
    assertTrue(oldLeader.isLeader(), "the old leader was replaced before the cancel was confirmed");
    cluster.run(secondsToOutage / 2);
    startOutage();
    assertTasksEndWithinLimit();
  }

  /**
   * A new leader is elected before the outage, or is about to be elected. The state store rejects
   * the requests of the new leader too, since the new leader would otherwise read the cancel as
   * soon as it is confirmed. As in the previous test, the second value is the time in seconds from
   * the first rejected request to the outage.
   */
  @ParameterizedTest
  @CsvSource({"1,3.1", "2,3.5", "3,3.9", "4,4.2", "5,4.5", "6,5", "7,6", "8,9", "9,12", "10,20"})
  void cancelledTasksEndWithinLimitWhenNewLeaderIsElectedBeforeOutage(
      long seed, double secondsToOutage) {
    startLongRunningTasks(seed);
    oldLeader.rejectStateStoreRequests(Duration.ofSeconds(14));
    cluster.run(secondsToOutage);
    SimulatedController newLeader =
        cluster.leaderOtherThan(oldLeader).orElse(cluster.nodeAfter(oldLeader));
    newLeader.rejectStateStoreRequests(Duration.ofSeconds(14));
    cancelThrough(
        cluster.nodes().stream()
            .filter(node -> node != oldLeader && node != newLeader)
            .findFirst()
            .orElseThrow());
    cluster.takeStateStoreDown(OUTAGE);
    assertTasksEndWithinLimit();
  }

  /**
   * An additional fault of a worker, a controller or the network at about the time of the cancel.
   */
  @SuppressWarnings("ImmutableEnumChecker") // the lambdas have no state
  enum ConcurrentFault {
    WORKER_HANGS((test, worker) -> worker.hang(Duration.ofSeconds(12))),
    WORKER_HANGS_PAST_ITS_LEASE((test, worker) -> worker.hang(Duration.ofSeconds(30))),
    WORKER_RECEIVES_NOTHING(
        (test, worker) -> test.cluster.network().dropInbound(host(worker), Duration.ofSeconds(20))),
    WORKER_OPENS_NO_CONNECTIONS(
        (test, worker) ->
            test.cluster.network().dropOutbound(host(worker), Duration.ofSeconds(20))),
    /**
     * Heartbeats, commands and replies between the worker and the old leader arrive only when the
     * cut ends.
     */
    WORKER_CUT_FROM_OLD_LEADER(
        (test, worker) ->
            test.cluster.network().cut(test.oldLeaderHost(), host(worker), LINK_CUT_TIME)),
    WORKER_CUT_FROM_OLD_LEADER_AND_HANGS(
        (test, worker) -> {
          test.cluster.network().cut(test.oldLeaderHost(), host(worker), LINK_CUT_TIME);
          worker.hang(LINK_CUT_TIME.plusSeconds(4));
        }),
    OLD_LEADER_RESTARTS((test, worker) -> test.oldLeader.crash(Duration.ofMillis(200))),
    OTHER_NODE_RESTARTS(
        (test, worker) ->
            test.cluster
                .nodeAfter(test.cluster.nodeAfter(test.oldLeader))
                .crash(Duration.ofMillis(200))),
    OLD_LEADER_FREEZES((test, worker) -> test.oldLeader.freeze(Duration.ofSeconds(9))),
    ZONE_OF_OLD_LEADER_CUT_OFF(
        (test, worker) -> test.cluster.network().cutZone(test.oldLeader.zone(), OUTAGE)),
    PEER_HEARTBEATS_LOST((test, worker) -> test.cluster.setMeshDown(true));

    private final BiConsumer<CancelDuringStateOutageTest, FakeWorker> injector;

    ConcurrentFault(BiConsumer<CancelDuringStateOutageTest, FakeWorker> injector) {
      this.injector = injector;
    }
  }

  private static final Duration LINK_CUT_TIME = Duration.ofSeconds(9);

  private String oldLeaderHost() {
    return oldLeader.address().host();
  }

  /**
   * The seed determines whether the fault occurs before the cancel, between the cancel and the
   * outage, or during the outage.
   */
  @ParameterizedTest
  @EnumSource(ConcurrentFault.class)
  void cancelledTasksEndWithinLimitDespiteConcurrentFault(ConcurrentFault fault) {
    for (long seed = 1; seed <= 6; seed++) {
      startLongRunningTasks(seed);
      cluster.schedule(
          0.1 + 0.4 * seed,
          () ->
              cluster.fleet().workersRunning(job).stream()
                  .limit(2)
                  .forEach(worker -> fault.injector.accept(this, worker)));
      oldLeader.rejectStateStoreRequests(Duration.ofSeconds(14));
      cluster.run(0.5);
      cancelThroughAnotherNode();
      cluster.run(0.5);
      cluster.takeStateStoreDown(OUTAGE);
      assertTasksEndWithinLimit();
    }
  }

  /**
   * Cancels the job while start commands are in transit, images are being fetched and machines
   * boot, each of which may still lead to a task start.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
  void cancelledTasksEndWithinLimitWhenMostHadNotStarted(long seed) {
    startClusterAndSubmit(seed, 40);
    cluster.cloud().setFastBoot(true);
    // In the first two seconds some tasks run, some fetch their image, and most wait for machines
    // that are still booting.
    cluster.run(0.2 + 0.3 * seed);
    oldLeader.rejectStateStoreRequests(Duration.ofSeconds(14));
    cluster.run(0.1);
    cluster.users().cancel(job.id(), cluster.nodeAfter(oldLeader).address());
    cluster.run(0.15);
    assertTrue(cluster.rules().isCancelConfirmed(job.id()), "no other node confirmed the cancel");
    cluster.takeStateStoreDown(OUTAGE);
    cluster.run(4);
    assertFalse(
        cluster.fleet().workersRunning(job).isEmpty(), "no task of the job runs during the outage");
    assertTasksEndWithinLimit();
  }
}
