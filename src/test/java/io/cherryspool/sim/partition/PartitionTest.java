package io.cherryspool.sim.partition;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cherryspool.model.Job;
import io.cherryspool.sim.cluster.DirectedFaultsFixture;
import io.cherryspool.sim.cluster.SimulatedCluster;
import io.cherryspool.sim.cluster.SimulatedController;
import io.cherryspool.sim.network.LinkFaults;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests each cell of the table in docs/partitions.md: one controller loses some of its links while
 * none, one, two or all of the controllers crash. The rules are checked after each event, so that a
 * task that runs twice at the same time fails the test at once. At the end, every accepted job must
 * have exactly one result.
 */
class PartitionTest extends DirectedFaultsFixture {
  private static final Duration CUT_DURATION = Duration.ofSeconds(12);
  private static final LinkFaults.Mode[] MODES = LinkFaults.Mode.values();

  /**
   * The most leader changes during and after a cut if no controller crashes; each crash may cause
   * one more. Two changes are expected from the cut. The third allows for the first election,
   * although that takes place before the changes are counted.
   */
  private static final int MAX_LEADER_CHANGES_WITHOUT_CRASH = 3;

  private static Stream<LinkCut> linkCuts() {
    return LinkCut.all().stream();
  }

  /**
   * Starts jobs for which a second start or a lost result would be noticed: one that runs to its
   * end, and one for the test to cancel.
   */
  private List<Job> startJobs() {
    Job kept = submit("blue", 12, 4, Duration.ofSeconds(30));
    Job cancelled = submit("red", 6, 4, LONG_RUN_TIME);
    awaitRunning(kept, 6);
    awaitRunning(cancelled, 2);
    cluster.run(8);
    return new ArrayList<>(List.of(kept, cancelled));
  }

  private void runWithCut(
      LinkCut cut, long seed, int controllers, boolean isLeaderCut, int crashCount) {
    startCluster(seed, controllers);
    List<Job> jobs = startJobs();
    SimulatedController leader = cluster.leader();
    SimulatedController cutNode = isLeaderCut ? leader : cluster.nodeAfter(leader);
    long termBefore = cluster.stateStore().value("c/term").path("term").longValue();
    cut.apply(cluster, cutNode, MODES[(int) (seed % MODES.length)], CUT_DURATION);
    cluster.schedule(2, () -> cluster.users().cancel(jobs.get(1).id()));
    for (int i = 0; i < crashCount; i++) {
      SimulatedController crashedNode =
          cluster.nodes().get((cluster.nodes().indexOf(leader) + i) % controllers);
      cluster.schedule(
          1 + 1.5 * i, () -> crashedNode.crash(Duration.ofMillis(300 + 900 * (seed % 4))));
    }
    cluster.schedule(3, () -> jobs.add(submit("red", 4, 2, Duration.ofSeconds(4))));
    cluster.run(100);
    assertAllEnded(jobs);
    long leaderChanges = cluster.stateStore().value("c/term").path("term").longValue() - termBefore;
    assertTrue(
        leaderChanges <= MAX_LEADER_CHANGES_WITHOUT_CRASH + crashCount,
        leaderChanges + " leader changes");
    assertTrue(cluster.currentLeader().isPresent(), "no node leads at the end");
  }

  @ParameterizedTest
  @MethodSource("linkCuts")
  void jobsEndAfterTheLeaderLosesLinks(LinkCut cut) {
    for (int crashCount = 0; crashCount <= 3; crashCount++) {
      runWithCut(cut, 1 + crashCount, 3, true, crashCount);
    }
  }

  @ParameterizedTest
  @MethodSource("linkCuts")
  void jobsEndAfterAFollowerLosesLinks(LinkCut cut) {
    for (int crashCount = 0; crashCount <= 3; crashCount++) {
      runWithCut(cut, 5 + crashCount, 3, false, crashCount);
    }
  }

  /**
   * Applies two random cells of the table at about the same time: one to the leader, and one to
   * another of the five controllers.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12})
  void jobsEndAfterTwoOfFiveControllersLoseLinks(long seed) {
    List<LinkCut> allCuts = LinkCut.all();
    for (int i = 0; i < 4; i++) {
      startCluster(seed, 5);
      List<Job> jobs = startJobs();
      SimulatedController leader = cluster.leader();
      LinkCut leaderCut = allCuts.get(cluster.random().nextInt(allCuts.size()));
      LinkCut followerCut = allCuts.get(cluster.random().nextInt(allCuts.size()));
      leaderCut.apply(cluster, leader, MODES[i % MODES.length], CUT_DURATION);
      cluster.run(0.5 * i);
      followerCut.apply(
          cluster, cluster.nodeAfter(leader), MODES[(i + 1) % MODES.length], CUT_DURATION);
      cluster.users().cancel(jobs.get(1).id());
      if (i > 1) {
        cluster.run(1);
        leader.crash(Duration.ofMillis(400));
        cluster.nodeAfter(cluster.nodeAfter(leader)).crash(Duration.ofSeconds(5));
      }
      cluster.run(110);
      assertAllEnded(jobs);
    }
  }

  /**
   * The state store has an outage during each cut, and some worker heartbeats arrive a second time,
   * up to 70 s late.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
  void jobsEndAfterCutsWithAnOutageAndDuplicatedHeartbeats(long seed) {
    List<LinkCut> allCuts = LinkCut.all();
    startCluster(seed, 3);
    cluster.network().setDuplicatingHeartbeats(true);
    List<Job> jobs = startJobs();
    for (int i = 0; i < 3; i++) {
      LinkCut cut = allCuts.get(cluster.random().nextInt(allCuts.size()));
      cut.apply(cluster, cluster.leader(), MODES[(int) (seed + i) % MODES.length], CUT_DURATION);
      cluster.run(3);
      cluster.takeStateStoreDown(Duration.ofSeconds(3 + seed));
      cluster.run(30);
    }
    cluster.users().cancel(jobs.get(1).id());
    cluster.network().setDuplicatingHeartbeats(false);
    cluster.run(110);
    assertAllEnded(jobs);
  }

  /**
   * A leader that reaches the state store but none of its workers does not take the workers for
   * dead: no machine with tasks is deleted, no machine is added in its place, and no worker's lease
   * expires. If {@code PartitionRule} never returns {@code SuspendFleetChanges}, machines are
   * deleted.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
  void aLeaderCutOffFromAllWorkersDeletesAndAddsNoMachine(long seed) {
    startCluster(seed, 3);
    List<Job> jobs = startJobs();
    // All tasks run, so there is no other reason to add a machine.
    awaitRunning(jobs.get(0), 12);
    awaitRunning(jobs.get(1), 6);
    List<String> busyMachines =
        cluster.workers().stream()
            .filter(worker -> !worker.runningTasks().isEmpty())
            .map(worker -> worker.machine().name())
            .toList();
    int addedBefore = cluster.cloud().addedMachineCount();
    long expiredLeasesBefore = cluster.fleet().expiredLeaseCount();
    SimulatedController node = cluster.leader();
    new LinkCut(LinkCut.StateStoreLink.UP, false, LinkCut.CutWorkers.ALL, LinkCut.Direction.BOTH)
        .apply(cluster, node, LinkFaults.Mode.HOLD, CUT_DURATION);
    for (int i = 0; i < 120 && cluster.currentLeader().filter(node::equals).isPresent(); i++) {
      cluster.run(0.1);
    }
    assertTrue(busyMachines.size() > 2, "too few machines run tasks before the cut");
    for (String machine : busyMachines) {
      assertTrue(cluster.cloud().isRunning(machine), machine + " was deleted");
    }
    assertEquals(addedBefore, cluster.cloud().addedMachineCount(), "number of added machines");
    assertEquals(
        expiredLeasesBefore, cluster.fleet().expiredLeaseCount(), "number of expired leases");
    cluster.users().cancel(jobs.get(1).id());
    cluster.run(90);
    assertAllEnded(jobs);
  }

  /**
   * The state store answers 503 to the leader's requests, and the leader does not reach the other
   * controllers. It still reaches its workers, but places no tasks: its verdict is {@code
   * hold-placing}.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4})
  void aLeaderRefusedByTheStateStoreSuspendsPlacement(long seed) {
    startCluster(seed, 3);
    startJobs();
    SimulatedController node = cluster.leader();
    new LinkCut(
            LinkCut.StateStoreLink.REFUSED, true, LinkCut.CutWorkers.NONE, LinkCut.Direction.BOTH)
        .apply(cluster, node, LinkFaults.Mode.DROP, CUT_DURATION);
    cluster.run(2.5);
    assertTrue(node.isLeader(), "the node is no longer leader");
    assertEquals("hold-placing", node.verdict().orElseThrow().name());
    cluster.run(CUT_DURATION.plusSeconds(3));
    assertTrue(cluster.currentLeader().isPresent());
    assertEquals("serve", cluster.leader().verdict().orElseThrow().name());
  }

  /**
   * A zone is cut off for longer than the workers' lease. Its machines are not deleted, and no task
   * is started a second time when the zone is reachable again.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6})
  void machinesOfASilentZoneAreNotDeleted(long seed) {
    startCluster(seed, 3);
    List<Job> jobs = new ArrayList<>();
    jobs.add(submit("blue", 20, 4, LONG_RUN_TIME));
    awaitRunning(jobs.get(0), 16);
    cluster.run(8);
    SimulatedController leader = cluster.leader();
    String zone = cluster.nodeAfter(leader).zone();
    List<String> zoneMachines =
        cluster.workers().stream()
            .filter(worker -> worker.machine().zone().equals(zone))
            .map(worker -> worker.machine().name())
            .toList();
    cluster.network().cutZone(zone, SimulatedCluster.LEASE.plusSeconds(4));
    cluster.run(SimulatedCluster.LEASE.plusSeconds(3));
    if (zoneMachines.size() > 1) {
      assertEquals("hold-zones", leader.verdict().orElseThrow().name());
      for (String machine : zoneMachines) {
        assertTrue(cluster.cloud().isRunning(machine), machine + " was deleted");
      }
    }
    cluster.users().cancel(jobs.get(0).id());
    cluster.run(60);
    assertAllEnded(jobs);
  }

  /**
   * Guards against a fault in which a leader that was cut off from its workers right after its
   * election did not count them as missing, because it had never received their heartbeats. It kept
   * leadership, and 317 tasks were killed when the leases of their workers expired. Without {@code
   * ContactState.NEVER_SEEN} the leases expire.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6})
  void aLeaderCutOffFromWorkersRightAfterItsElectionHandsOver(long seed) {
    startCluster(seed, 3);
    List<Job> jobs = startJobs();
    long expiredLeasesBefore = cluster.fleet().expiredLeaseCount();
    SimulatedController oldLeader = cluster.leader();
    oldLeader.crash(Duration.ofMillis(500));
    SimulatedController newLeader = awaitLeaderOtherThan(oldLeader, 0.01);
    cluster.cutLeaderFromWorkers(Duration.ofSeconds(40));
    cluster.run(14);
    assertTrue(cluster.leaderOtherThan(newLeader).isPresent(), "no other node leads");
    assertEquals(
        expiredLeasesBefore, cluster.fleet().expiredLeaseCount(), "number of expired leases");
    cluster.users().cancel(jobs.get(1).id());
    cluster.run(90);
    assertAllEnded(jobs);
  }
}
