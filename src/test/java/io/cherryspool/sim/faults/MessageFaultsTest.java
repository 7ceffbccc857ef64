package io.cherryspool.sim.faults;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cherryspool.model.Job;
import io.cherryspool.sim.cluster.DirectedFaultsFixture;
import io.cherryspool.sim.cluster.SimulatedCluster;
import io.cherryspool.sim.cluster.SimulatedController;
import io.cherryspool.sim.fakes.FakeWorker;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Checks combinations of late, held, lost and repeated messages. The rules are checked after each
 * event.
 */
class MessageFaultsTest extends DirectedFaultsFixture {

  /**
   * Users cancel each job just as its last task ends, and poll it and submit it again at about the
   * same time.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4})
  void jobsEndWhenCancelsAndPollsCoincideWithTheEndOfTheLastTask(long seed) {
    startCluster(seed, 3);
    cluster.users().setCancelAtEndShare(1);
    cluster.users().setBurstAfterStatusChange(true);
    List<Job> jobs = new ArrayList<>();
    for (int i = 0; i < 20; i++) {
      jobs.add(submit(i % 2 == 0 ? "red" : "blue", 1 + i % 3, 2, Duration.ofSeconds(3)));
      cluster.run(1);
    }
    cluster.run(60);
    assertAllEnded(jobs);
  }

  /** Transactions without a reply are applied after newer transactions of the same controller. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6})
  void jobsEndWhenTransactionsCommitAfterNewerOnes(long seed) {
    startCluster(seed, 3);
    cluster.stateStore().delayCommits(0.6);
    List<Job> jobs = new ArrayList<>();
    for (int i = 0; i < 10; i++) {
      Job job = submit(i % 2 == 0 ? "red" : "blue", 4, 2, Duration.ofSeconds(4));
      jobs.add(job);
      if (i % 3 == 0) {
        cluster.schedule(3, () -> cluster.users().cancel(job.id()));
      }
      cluster.run(2);
    }
    cluster.leader().crash(Duration.ofMillis(300));
    cluster.run(12);
    cluster.stateStore().delayCommits(0);
    cluster.run(75);
    assertAllEnded(jobs);
  }

  /**
   * Recorded heartbeats, including those of earlier agent epochs, arrive again at a leader that has
   * already processed newer ones.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6})
  void jobEndsWhenHeartbeatsOfEarlierEpochsAndAttemptsArriveAgain(long seed) {
    Job job = startClusterWithJob(seed, 16, Duration.ofSeconds(25), 12);
    cluster.network().recordHeartbeats();
    cluster.run(3);
    long expiredLeasesBefore = cluster.fleet().expiredLeaseCount();
    cluster.fleet().workersRunning(job).stream()
        .limit(2)
        .forEach(
            worker ->
                cluster
                    .network()
                    .dropOutbound(host(worker), SimulatedCluster.LEASE.plusSeconds(3)));
    cluster.leader().crash(Duration.ofMillis(200 * seed));
    for (int i = 0; i < 60; i++) {
      cluster.network().replayHeartbeats(controllerAddresses());
      cluster.run(0.5);
    }
    assertTrue(cluster.fleet().expiredLeaseCount() >= expiredLeasesBefore);
    cluster.run(90);
    assertAllEnded(List.of(job));
  }

  /**
   * Some workers cannot open connections to any controller, while commands of the leader reach
   * them.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6})
  void jobsEndWhenMachinesReceiveCommandsButOpenNoConnections(long seed) {
    TwoJobs jobs = startClusterWithTwoJobs(seed, 16, Duration.ofSeconds(30), 12);
    awaitRunning(jobs.cancelled(), 4);
    for (FakeWorker worker : List.copyOf(cluster.workers())) {
      if (worker.machine().name().hashCode() % 2 == 0) {
        cluster.network().dropOutbound(host(worker), Duration.ofSeconds(6 + 5 * seed));
      }
    }
    cluster.run(3);
    cluster.users().cancel(jobs.cancelled().id());
    cluster.run(2);
    assertTrue(cluster.rules().isCancelConfirmed(jobs.cancelled().id()));
    cluster.run(140);
    assertAllEnded(jobs.all());
  }

  /**
   * Commands or their replies are held for seconds, while some of the machines hang and then
   * continue.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
  void jobsEndWhenCommandsAreDelayedAndMachinesHang(long seed) {
    List<Job> jobs = new ArrayList<>();
    jobs.add(startClusterWithJob(seed, 8, Duration.ofSeconds(40), 8));
    for (int i = 0; i < 8; i++) {
      jobs.add(submit(i % 2 == 0 ? "red" : "blue", 4, 2, Duration.ofSeconds(12)));
      SimulatedController leader = cluster.leader();
      Duration length = Duration.ofMillis(2000 + 900 * seed);
      if (cluster.workers().isEmpty()) {
        // All machines were deleted as unresponsive, and their replacements are booting.
        cluster.run(10);
      }
      List<FakeWorker> workers = List.copyOf(cluster.workers());
      FakeWorker worker = workers.get(i % workers.size());
      cluster.schedule(
          0.04 * i, () -> cluster.network().cut(leader.address().host(), host(worker), length));
      if (i % 2 == 0) {
        cluster.schedule(0.3, () -> worker.hang(length.plusMillis(1500)));
      }
      if (i % 3 == 0) {
        Job job = jobs.get(i + 1);
        cluster.schedule(1.5, () -> cluster.users().cancel(job.id()));
      }
      cluster.run(2.5);
    }
    cluster.run(200);
    assertAllEnded(jobs);
  }

  /**
   * The state store is slow, and then down for longer than the cancel limit, while a user cancels
   * the job and users poll it often.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4})
  void cancelledTasksEndWithinLimitWhenStateStoreIsSlowThenDown(long seed) {
    Job job = startClusterWithJob(seed, 12, LONG_RUN_TIME, 12);
    cluster.users().setPollingFactor(8);
    cluster.users().setBurstAfterStatusChange(true);
    cluster.stateStore().delayReplies(1600);
    cluster.run(3);
    SimulatedController leader = cluster.leader();
    leader.rejectStateStoreRequests(Duration.ofSeconds(14));
    cluster.run(0.1);
    cluster.users().cancel(job.id(), cluster.nodeAfter(leader).address());
    awaitCancelConfirmed(job, 0.1, 400);
    cluster.takeStateStoreDown(SimulatedCluster.CANCEL_LIMIT.plusSeconds(10));
    cluster.run(SimulatedCluster.CANCEL_LIMIT.plusMillis(100));
    assertEquals(0, cluster.fleet().runningTaskCount(job));
    cluster.stateStore().delayReplies(0);
    cluster.run(60);
  }

  /**
   * There are more tasks than the cluster can run at once, and each message is delayed by up to 500
   * ms.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void highPriorityJobStartsSoonWhenClusterIsFullAndLinksAreSlow(long seed) {
    startCluster(seed, 3);
    cluster.network().setMaxExtraDelay(500);
    List<Job> jobs = new ArrayList<>();
    jobs.add(submit("blue", 60, 4, Duration.ofSeconds(10)));
    jobs.add(submit("red", 40, 4, Duration.ofSeconds(10)));
    cluster.run(20);
    Job highPriorityJob = cluster.jobs().createHighPriority("red", 4, 4, Duration.ofSeconds(5));
    cluster.users().submit(highPriorityJob);
    cluster.run(25);
    assertTrue(
        cluster.fleet().runningTaskCount(highPriorityJob)
                + cluster.rules().completedTaskCount(highPriorityJob.id())
            > 0,
        "no task of the high-priority job was started within 25 s");
    cluster.run(60);
    cluster.network().setMaxExtraDelay(0);
    cluster.run(100);
    jobs.add(highPriorityJob);
    assertAllEnded(jobs);
  }
}
