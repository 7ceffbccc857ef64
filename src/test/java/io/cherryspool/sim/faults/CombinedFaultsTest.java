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
 * Where two faults meet, each injected on purpose. The rules are checked after every event; each
 * test says besides that the meeting came about, and what users may expect of it.
 */
class CombinedFaultsTest extends DirectedFaultsFixture {

  /** Submissions, cancels, ends, rounds and elections are carried out, and no answer says so. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6})
  void allTransactionsAreCarriedOutAndTheirAnswersLost(long seed) {
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
    SimulatedController old = cluster.leader();
    old.crash(Duration.ofSeconds(20));
    cluster.run(9);
    assertNotEquals(old.name(), cluster.leader().name(), "elected though no answer said so");
    assertNotNull(
        cluster.stateStore().value("c/outcomes/" + cancelled.id()), "the cancel was carried out");
    cluster.run(6);
    cluster.stateStore().loseReplies(0);
    cluster.run(60);
    assertAllEnded(jobs);
    assertTrue(cluster.rules().isCancelConfirmed(cancelled.id()));
  }

  /**
   * A team is at its limit; its jobs are cancelled while some of their machines are cut off or
   * hang, and the leader changes. The next job of the team begins as the proofs come in, and no
   * sooner: the rule checker counts the limit and looks for tasks that run twice.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
  void aTeamAtItsLimitLosesMachinesAndItsLeaderAsItsJobsAreCancelled(long seed) {
    startCluster(seed, 3);
    // The limit of red is 64 processors.
    Job first = submit("red", 16, 4, LONG_RUN_TIME);
    for (int i = 0; i < 60 && cluster.fleet().runningTaskCount(first) < 16; i++) {
      cluster.run(1);
    }
    assertEquals(16, cluster.fleet().runningTaskCount(first), "the team is at its limit");
    Job second = submit("red", 8, 4, Duration.ofSeconds(10));
    cluster.run(2);
    List<FakeWorker> lost = cluster.fleet().workersRunning(first).stream().limit(2).toList();
    SimulatedController old = cluster.leader();
    for (SimulatedController node : cluster.nodes()) {
      cluster
          .network()
          .cut(node.address().host(), lost.get(0).machine().host(), Duration.ofSeconds(40));
    }
    lost.get(1).hang(Duration.ofSeconds(seed % 2 == 0 ? 10 : 30));
    cluster.run(0.2);
    cluster.users().cancel(first.id(), cluster.nodeAfter(old).address());
    cluster.run(0.1 * seed);
    old.crash(Duration.ofMillis(300 + 500 * seed));
    cluster.run(16);
    assertTrue(cluster.rules().isCancelConfirmed(first.id()));
    assertTrue(
        cluster.fleet().runningTaskCount(second) + cluster.rules().completedTaskCount(second.id())
            == 8,
        "what is proved free is used");
    cluster.run(75);
    assertAllEnded(List.of(first, second));
  }

  /** Cancels in the seconds in which the leadership is transferred, through every node. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
  void jobsAreCancelledWhileOneControllersWorkChangesHands(long seed) {
    startCluster(seed, 3 + (int) seed % 3);
    List<Job> jobs = new ArrayList<>();
    for (int i = 0; i < 12; i++) {
      jobs.add(submit(i % 2 == 0 ? "red" : "blue", 2, 3, LONG_RUN_TIME));
    }
    cluster.run(25);
    SimulatedController old = cluster.leader();
    if (seed % 2 == 0) {
      old.crash(Duration.ofMillis(200));
    } else {
      cluster.cutLeaderFromWorkers(Duration.ofSeconds(30));
    }
    // The leader hands leadership over after about 10 s, and one that ended is replaced after 1 to
    // 5 s.
    double from = seed % 2 == 0 ? 0 : 7;
    for (int i = 0; i < jobs.size(); i++) {
      Job job = jobs.get(i);
      SimulatedController through = cluster.nodes().get(i % cluster.nodes().size());
      cluster.schedule(from + 0.5 * i, () -> cluster.users().cancel(job.id(), through.address()));
    }
    cluster.run(16);
    assertNotEquals(
        seed % 2 == 0 ? null : old.name(), cluster.leader().name(), "the work changed hands");
    cluster.run(40);
    for (Job job : jobs) {
      assertTrue(cluster.rules().isCancelConfirmed(job.id()), "the cancel was confirmed");
      assertEquals(List.of(), cluster.fleet().workersRunning(job));
    }
  }

  /** New machines get work within seconds while writes lag, and the leader ends. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
  void machinesThatAreNotListedYetRunWorkThatLagsAsTheLeaderEnds(long seed) {
    startCluster(seed, 3);
    cluster.cloud().setFastBoot(true);
    int before = cluster.workers().size();
    List<Job> jobs =
        List.of(
            submit("blue", 24, 4, Duration.ofSeconds(8)),
            submit("red", 16, 4, Duration.ofSeconds(8)));
    cluster.run(0.3);
    cluster.stateStore().delayCommits(0.4);
    double wait = 1 + 0.4 * seed;
    cluster.run(wait);
    assertTrue(cluster.workers().size() > before, "new machines are up");
    cluster.leader().crash(Duration.ofMillis(150 * seed));
    cluster.run(15);
    cluster.stateStore().delayCommits(0);
    cluster.run(75);
    assertAllEnded(jobs);
  }

  /** Old heartbeats, of machines that ran other tasks then, are the first a new leader receives. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
  void oldHeartbeatsReachEveryControllerJustAsANewLeaderBegins(long seed) {
    startCluster(seed, 3);
    List<Job> jobs = new ArrayList<>();
    jobs.add(submit("red", 8, 4, Duration.ofSeconds(4)));
    cluster.run(2 + 0.3 * seed);
    cluster.network().recordHeartbeats();
    cluster.run(6);
    jobs.add(submit("blue", 12, 4, Duration.ofSeconds(20)));
    cluster.run(8);
    int[] copies = {0};
    cluster
        .stateStore()
        .onPut(
            key -> {
              if (key.equals("c/leader")) {
                copies[0]++;
                List.of(1, 3, 8)
                    .forEach(
                        wait ->
                            cluster.schedule(
                                wait / 1e3,
                                () -> cluster.network().replayHeartbeats(controllerAddresses())));
              }
            });
    cluster.leader().crash(Duration.ofMillis(300));
    cluster.run(12);
    assertTrue(copies[0] > 0, "a new leader began and received them");
    cluster.run(80);
    assertAllEnded(jobs);
  }

  /**
   * One-task jobs come four a second for two minutes, a quarter of them cancelled, and the state
   * service takes 25 changes a second. All are served, or answered when to retry.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void oneTaskJobsComeFourASecondForMinutes(long seed) {
    cluster = SimulatedCluster.of(seed, 5, 25);
    cluster.run(25);
    List<Job> jobs = new ArrayList<>();
    for (int i = 0; i < 480; i++) {
      int number = i;
      cluster.schedule(
          i / 4.0,
          () -> {
            Job job =
                cluster
                    .jobs()
                    .create(number % 2 == 0 ? "red" : "blue", 1, 1, Duration.ofSeconds(3));
            jobs.add(job);
            cluster.users().submit(job);
            if (number % 4 == 0) {
              cluster.schedule(1 + number % 7, () -> cluster.users().cancel(job.id()));
            }
          });
    }
    cluster.run(60);
    int startsMidway = cluster.rules().startCount();
    assertTrue(startsMidway > 120, "starts are not starved: " + startsMidway);
    cluster.run(75);
    cluster.rules().setFaultsEndedAt(cluster.time().now());
    assertEquals(480, jobs.size());
    assertAllEnded(jobs);
    cluster.rules().checkEndOfRun();
    cluster.run(1);
  }

  /**
   * Two tasks end far apart, with another leader each time, and a copy of the first's heartbeat.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6})
  void tasksOfOneJobEndFarApartAcrossChangesOfLeader(long seed) {
    startCluster(seed, 3);
    Job job = cluster.jobs().create("blue", 3, 8, Duration.ofSeconds(20));
    cluster.users().submit(job);
    cluster.run(16);
    FakeWorker slow = cluster.fleet().workersRunning(job).get(0);
    slow.hang(Duration.ofSeconds(14));
    cluster.network().recordHeartbeats();
    while (cluster.rules().completedTaskCount(job.id()) == 0) {
      cluster.run(0.05);
    }
    cluster.run(0.1 * seed);
    cluster.leader().crash(Duration.ofMillis(200));
    cluster.run(6);
    cluster.network().replayHeartbeats(controllerAddresses());
    assertFalse(cluster.rules().completedTaskCount(job.id()) == 3, "one is still to end");
    cluster.leader().crash(Duration.ofMillis(200));
    cluster.run(60);
    assertTrue(cluster.rules().hasEnded(job.id()));
    assertFalse(cluster.rules().isCancelConfirmed(job.id()));
  }
}
