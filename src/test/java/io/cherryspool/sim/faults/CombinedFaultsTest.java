package io.cherryspool.sim.faults;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
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
 * Checks combinations of specific faults. The rules are checked after each event. Most tests also
 * assert that the faults coincided. All assert that users receive the final status of their jobs.
 */
class CombinedFaultsTest extends DirectedFaultsFixture {

  /**
   * The transactions of submissions, cancels, ends of jobs, scheduling rounds and elections are
   * committed to the state store, but the controllers receive no replies to them.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6})
  void jobsEndWhenTransactionsCommitButAllRepliesAreLost(long seed) {
    startCluster(seed, 3);
    List<Job> jobs = new ArrayList<>();
    cluster.users().setBurstAfterStatusChange(true);
    jobs.add(submit("red", 4, 4, Duration.ofSeconds(6)));
    Job cancelled = submit("blue", 6, 4, LONG_RUN_TIME);
    jobs.add(cancelled);
    cluster.run(8);
    cluster.stateStore().loseReplies(1);
    jobs.add(submit("red", 3, 2, Duration.ofSeconds(3)));
    cluster.users().cancel(cancelled.id());
    cluster.run(2);
    SimulatedController oldLeader = cluster.leader();
    oldLeader.crash(Duration.ofSeconds(20));
    cluster.run(9);
    assertNotEquals(
        oldLeader.name(),
        cluster.leader().name(),
        "no new leader was elected while transactions got no reply");
    assertNotNull(
        cluster.stateStore().value("c/outcomes/" + cancelled.id()), "the cancel was not committed");
    cluster.run(6);
    cluster.stateStore().loseReplies(0);
    cluster.run(60);
    assertAllEnded(jobs);
    assertTrue(cluster.rules().isCancelConfirmed(cancelled.id()));
  }

  /**
   * A team is at its quota. Its job is cancelled while some of the machines that run it are cut off
   * or hang, and the leader crashes. The tasks of the team's next job may start only when it is
   * certain that tasks of the first job have ended. The rule checker checks the quota, and that no
   * task runs twice.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
  void nextJobOfTeamAtItsQuotaRunsAfterCancelDespiteLostMachinesAndLeader(long seed) {
    startCluster(seed, 3);
    // The quota of team red is 64 CPUs.
    Job firstJob = submit("red", 16, 4, LONG_RUN_TIME);
    for (int i = 0; i < 60 && cluster.fleet().runningTaskCount(firstJob) < 16; i++) {
      cluster.run(1);
    }
    assertEquals(
        16,
        cluster.fleet().runningTaskCount(firstJob),
        "running tasks of the first job, which use up the quota");
    Job secondJob = submit("red", 8, 4, Duration.ofSeconds(10));
    cluster.run(2);
    List<FakeWorker> lostWorkers =
        cluster.fleet().workersRunning(firstJob).stream().limit(2).toList();
    SimulatedController oldLeader = cluster.leader();
    for (SimulatedController node : cluster.nodes()) {
      cluster
          .network()
          .cut(node.address().host(), lostWorkers.get(0).machine().host(), Duration.ofSeconds(40));
    }
    lostWorkers.get(1).hang(Duration.ofSeconds(seed % 2 == 0 ? 10 : 30));
    cluster.run(0.2);
    cluster.users().cancel(firstJob.id(), cluster.nodeAfter(oldLeader).address());
    cluster.run(0.1 * seed);
    oldLeader.crash(Duration.ofMillis(300 + 500 * seed));
    cluster.run(16);
    assertTrue(cluster.rules().isCancelConfirmed(firstJob.id()));
    assertTrue(
        cluster.fleet().runningTaskCount(secondJob)
                + cluster.rules().completedTaskCount(secondJob.id())
            == 8,
        "not all tasks of the second job were started with the freed quota");
    cluster.run(75);
    assertAllEnded(List.of(firstJob, secondJob));
  }

  /** Cancels jobs through all nodes while the leadership changes. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
  void cancelsAreConfirmedAndTasksEndDuringLeadershipChange(long seed) {
    startCluster(seed, 3 + (int) seed % 3);
    List<Job> jobs = new ArrayList<>();
    for (int i = 0; i < 12; i++) {
      jobs.add(submit(i % 2 == 0 ? "red" : "blue", 2, 3, LONG_RUN_TIME));
    }
    cluster.run(25);
    SimulatedController oldLeader = cluster.leader();
    if (seed % 2 == 0) {
      oldLeader.crash(Duration.ofMillis(200));
    } else {
      cluster.cutLeaderFromWorkers(Duration.ofSeconds(30));
    }
    // A leader that is cut off from its workers hands over after about 10 s; a crashed leader is
    // replaced after 1 to 5 s.
    double firstCancelS = seed % 2 == 0 ? 0 : 7;
    for (int i = 0; i < jobs.size(); i++) {
      Job job = jobs.get(i);
      SimulatedController node = cluster.nodes().get(i % cluster.nodes().size());
      cluster.schedule(
          firstCancelS + 0.5 * i, () -> cluster.users().cancel(job.id(), node.address()));
    }
    cluster.run(16);
    assertNotEquals(
        seed % 2 == 0 ? null : oldLeader.name(),
        cluster.leader().name(),
        "the leader has not changed");
    cluster.run(40);
    for (Job job : jobs) {
      assertTrue(cluster.rules().isCancelConfirmed(job.id()), "the cancel was not confirmed");
      assertEquals(List.of(), cluster.fleet().workersRunning(job));
    }
  }

  /**
   * Tasks are placed on new machines within seconds while commits are delayed, and then the leader
   * crashes.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
  void jobsOnNewMachinesEndWhenCommitsAreDelayedAndLeaderCrashes(long seed) {
    startCluster(seed, 3);
    cluster.cloud().setFastBoot(true);
    int workersBefore = cluster.workers().size();
    List<Job> jobs =
        List.of(
            submit("blue", 24, 4, Duration.ofSeconds(8)),
            submit("red", 16, 4, Duration.ofSeconds(8)));
    cluster.run(0.3);
    cluster.stateStore().delayCommits(0.4);
    double secondsToCrash = 1 + 0.4 * seed;
    cluster.run(secondsToCrash);
    assertTrue(cluster.workers().size() > workersBefore, "no new machine is up before the crash");
    cluster.leader().crash(Duration.ofMillis(150 * seed));
    cluster.run(15);
    cluster.stateStore().delayCommits(0);
    cluster.run(75);
    assertAllEnded(jobs);
  }

  /**
   * The first heartbeats that a new leader receives are old. The machines ran other tasks when they
   * sent them.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
  void jobsEndWhenNewLeaderFirstReceivesOldHeartbeats(long seed) {
    startCluster(seed, 3);
    List<Job> jobs = new ArrayList<>();
    jobs.add(submit("red", 8, 4, Duration.ofSeconds(4)));
    cluster.run(2 + 0.3 * seed);
    cluster.network().recordHeartbeats();
    cluster.run(6);
    jobs.add(submit("blue", 12, 4, Duration.ofSeconds(20)));
    cluster.run(8);
    int[] elections = {0};
    cluster
        .stateStore()
        .onPut(
            key -> {
              if (key.equals("c/leader")) {
                elections[0]++;
                List.of(1, 3, 8)
                    .forEach(
                        delayMs ->
                            cluster.schedule(
                                delayMs / 1e3,
                                () -> cluster.network().replayHeartbeats(controllerAddresses())));
              }
            });
    cluster.leader().crash(Duration.ofMillis(300));
    cluster.run(12);
    assertTrue(elections[0] > 0, "no new leader was elected, so no old heartbeats were replayed");
    cluster.run(80);
    assertAllEnded(jobs);
  }

  /**
   * Users submit four single-task jobs a second for two minutes and cancel a quarter of them, while
   * the state store accepts 25 changes a second. Each request is served, or answered with a time at
   * which to retry.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void allSingleTaskJobsEndAtFourSubmissionsPerSecond(long seed) {
    cluster = SimulatedCluster.of(seed, 5, 25);
    cluster.run(25);
    List<Job> jobs = new ArrayList<>();
    for (int i = 0; i < 480; i++) {
      int jobNumber = i;
      cluster.schedule(
          i / 4.0,
          () -> {
            Job job =
                cluster
                    .jobs()
                    .create(jobNumber % 2 == 0 ? "red" : "blue", 1, 1, Duration.ofSeconds(3));
            jobs.add(job);
            cluster.users().submit(job);
            if (jobNumber % 4 == 0) {
              cluster.schedule(1 + jobNumber % 7, () -> cluster.users().cancel(job.id()));
            }
          });
    }
    cluster.run(60);
    int startCountAfterOneMinute = cluster.rules().startCount();
    assertTrue(
        startCountAfterOneMinute > 120,
        "too few task starts during the first minute of submissions: " + startCountAfterOneMinute);
    cluster.run(75);
    cluster.rules().setFaultsEndedAt(cluster.time().now());
    assertEquals(480, jobs.size());
    assertAllEnded(jobs);
    cluster.rules().checkEndOfRun();
    cluster.run(1);
  }

  /**
   * The tasks of a job end several seconds apart under different leaders. The second leader also
   * receives a copy of an earlier heartbeat.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6})
  void jobIsDoneWhenItsTasksEndUnderDifferentLeaders(long seed) {
    startCluster(seed, 3);
    Job job = cluster.jobs().create("blue", 3, 8, Duration.ofSeconds(20));
    cluster.users().submit(job);
    cluster.run(16);
    FakeWorker hangingWorker = cluster.fleet().workersRunning(job).get(0);
    hangingWorker.hang(Duration.ofSeconds(14));
    cluster.network().recordHeartbeats();
    while (cluster.rules().completedTaskCount(job.id()) == 0) {
      cluster.run(0.05);
    }
    cluster.run(0.1 * seed);
    cluster.leader().crash(Duration.ofMillis(200));
    cluster.run(6);
    cluster.network().replayHeartbeats(controllerAddresses());
    assertFalse(
        cluster.rules().completedTaskCount(job.id()) == 3,
        "all tasks completed before the second leader crashed");
    cluster.leader().crash(Duration.ofMillis(200));
    cluster.run(60);
    assertTrue(cluster.rules().hasEnded(job.id()));
    assertFalse(cluster.rules().isCancelConfirmed(job.id()));
  }
}
