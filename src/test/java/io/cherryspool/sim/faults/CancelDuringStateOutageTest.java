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
 * The gap: the state store refuses the leader alone, another node confirms cancels, then the
 * service is down for all for longer than the cancel limit, while workers go on reporting to the
 * old leader, which can't know of the cancels. Their tasks must be gone within the limit of the
 * confirmation; the rule checker looks after each step.
 *
 * <p>Each day asserts that the meeting came about: tasks of the jobs ran when another node
 * confirmed, the old leader refused and not yet replaced, and their leases were renewed after that.
 */
class CancelDuringStateOutageTest extends DirectedFaultsFixture {
  private static final Duration OUTAGE = SimulatedCluster.CANCEL_LIMIT.plusSeconds(30);

  private Job job;
  private SimulatedController old;

  /** Tasks run long, under a leader that is well settled. */
  private void runTasks(long seed) {
    begin(seed, 12);
    cluster.run(20 + seed % 5);
    assertFalse(cluster.fleet().workersRunning(job).isEmpty(), "tasks run");
  }

  private void begin(long seed, int tasks) {
    startCluster(seed, 3);
    old = cluster.leader();
    job = submit("blue", tasks, 4, Duration.ofSeconds(150));
  }

  /** Another node confirms the cancel while the leader alone is refused. */
  private void cancelPastTheLeader() {
    cancelThrough(cluster.nodeAfter(old));
  }

  private void cancelThrough(SimulatedController node) {
    cluster.users().cancel(job.id(), node.address());
    awaitCancelConfirmed(job, 0.001, 150);
    assertFalse(cluster.fleet().workersRunning(job).isEmpty(), "its tasks run on");
  }

  /** The service is silent for all until well after the limit. */
  private void outage() {
    Duration start = cluster.time().now();
    cluster.stateStoreOutage(OUTAGE);
    cluster.run(10);
    List<FakeWorker> still = cluster.fleet().workersRunning(job);
    assertFalse(still.isEmpty(), "its tasks run on");
    assertTrue(
        still.stream().anyMatch(worker -> worker.leaseRenewedAt().compareTo(start) > 0),
        "the old leader keeps them alive in the outage");
  }

  /** What the rule checker watched to the end, said once more. */
  private void allGoneInTime() {
    Duration limit =
        cluster
            .rules()
            .cancelConfirmedAt(job.id())
            .orElseThrow()
            .plus(SimulatedCluster.CANCEL_LIMIT);
    cluster.run(limit.minus(cluster.time().now()).plusMillis(100));
    assertEquals(List.of(), cluster.fleet().workersRunning(job), "gone within the limit");
    cluster.run(OUTAGE.plusSeconds(20));
    assertEquals(List.of(), cluster.fleet().workersRunning(job), "and not back after the outage");
  }

  /** Moments from the refusal to the outage, in seconds; a new leader is elected after about 4. */
  @ParameterizedTest
  @CsvSource({
    "1,0.2", "2,0.2", "3,0.5", "4,0.5", "5,1", "6,1.3", "7,1.7", "8,2.1", "9,2.5", "10,2.8"
  })
  void cancelledTasksAreGoneInTimeThoughTheirLeaderCannotKnow(long seed, double apart) {
    runTasks(seed);
    old.rejectStateStoreRequests(Duration.ofSeconds(14));
    cluster.run(apart / 2);
    cancelPastTheLeader();
    assertTrue(old.isLeader(), "nobody has replaced the leader");
    cluster.run(apart / 2);
    outage();
    allGoneInTime();
  }

  /**
   * As above, with a new leader elected before the outage, or just not. The service refuses that
   * one too, or it would read of the cancel while it is confirmed.
   */
  @ParameterizedTest
  @CsvSource({"1,3.1", "2,3.5", "3,3.9", "4,4.2", "5,4.5", "6,5", "7,6", "8,9", "9,12", "10,20"})
  void soTheyAreWhenANewLeaderIsElectedFirst(long seed, double apart) {
    runTasks(seed);
    old.rejectStateStoreRequests(Duration.ofSeconds(14));
    cluster.run(apart);
    SimulatedController next = cluster.leaderOtherThan(old).orElse(cluster.nodeAfter(old));
    next.rejectStateStoreRequests(Duration.ofSeconds(14));
    cancelThrough(
        cluster.nodes().stream()
            .filter(node -> node != old && node != next)
            .findFirst()
            .orElseThrow());
    cluster.stateStoreOutage(OUTAGE);
    allGoneInTime();
  }

  /** What else may happen in the middle of the gap, to the cluster and the controller that led. */
  @SuppressWarnings("ImmutableEnumChecker") // the lambdas hold no state
  enum Middle {
    HANG((test, worker) -> worker.hang(Duration.ofSeconds(12))),
    HANG_PAST_THE_LEASE((test, worker) -> worker.hang(Duration.ofSeconds(30))),
    NOT_RECEIVING(
        (test, worker) -> test.cluster.network().dropInbound(host(worker), Duration.ofSeconds(20))),
    UNRESPONSIVE(
        (test, worker) ->
            test.cluster.network().dropOutbound(host(worker), Duration.ofSeconds(20))),
    /** Reports, commands and answers between the two wait, and then arrive all the same. */
    HELD_UP((test, worker) -> test.cluster.network().cut(test.oldHost(), host(worker), HOLD)),
    HELD_UP_AND_HUNG(
        (test, worker) -> {
          test.cluster.network().cut(test.oldHost(), host(worker), HOLD);
          worker.hang(HOLD.plusSeconds(4));
        }),
    BACK_AT_ONCE((test, worker) -> test.old.crash(Duration.ofMillis(200))),
    OTHER_BACK_AT_ONCE(
        (test, worker) ->
            test.cluster.nodeAfter(test.cluster.nodeAfter(test.old)).crash(Duration.ofMillis(200))),
    LEADER_STANDS_STILL((test, worker) -> test.old.freeze(Duration.ofSeconds(9))),
    ZONE_CUT((test, worker) -> test.cluster.network().cutZone(test.old.zone(), OUTAGE)),
    PEERS_LOST((test, worker) -> test.cluster.setMeshDown(true));

    private final BiConsumer<CancelDuringStateOutageTest, FakeWorker> strike;

    Middle(BiConsumer<CancelDuringStateOutageTest, FakeWorker> strike) {
      this.strike = strike;
    }
  }

  private static final Duration HOLD = Duration.ofSeconds(9);

  private String oldHost() {
    return old.address().host();
  }

  /** Each at a moment of the seed's: before the cancel, between it and the outage, or after. */
  @ParameterizedTest
  @EnumSource(Middle.class)
  void soTheyAreWhateverElseHappensInTheMiddle(Middle middle) {
    for (long seed = 1; seed <= 6; seed++) {
      runTasks(seed);
      cluster.schedule(
          0.1 + 0.4 * seed,
          () ->
              cluster.fleet().workersRunning(job).stream()
                  .limit(2)
                  .forEach(worker -> middle.strike.accept(this, worker)));
      old.rejectStateStoreRequests(Duration.ofSeconds(14));
      cluster.run(0.5);
      cancelPastTheLeader();
      cluster.run(0.5);
      cluster.stateStoreOutage(OUTAGE);
      allGoneInTime();
    }
  }

  /** Commands under way, images being fetched, machines that boot: all of it may end in a start. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
  void soAreThoseThatHadNotBegunYet(long seed) {
    begin(seed, 40);
    cluster.cloud().setFastBoot(true);
    // Within two seconds some tasks run, some fetch, and most wait for machines that boot.
    cluster.run(0.2 + 0.3 * seed);
    old.rejectStateStoreRequests(Duration.ofSeconds(14));
    cluster.run(0.1);
    cluster.users().cancel(job.id(), cluster.nodeAfter(old).address());
    cluster.run(0.15);
    assertTrue(cluster.rules().isCancelConfirmed(job.id()), "another node confirmed the cancel");
    cluster.stateStoreOutage(OUTAGE);
    cluster.run(4);
    assertFalse(
        cluster.fleet().workersRunning(job).isEmpty(), "tasks began, or went on, in the gap");
    allGoneInTime();
  }
}
