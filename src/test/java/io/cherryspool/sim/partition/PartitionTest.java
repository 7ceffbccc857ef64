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
 * The table of docs/partitions.md, cell by cell: one controller loses some of its links while none,
 * one, two or all of the controllers fail. The rules are checked after each step, so that a task
 * that starts twice fails the test at once; every accepted job must have its one answer at the end.
 */
class PartitionTest extends DirectedFaultsFixture {
  private static final Duration CUT = Duration.ofSeconds(12);
  private static final LinkFaults.Mode[] MODES = LinkFaults.Mode.values();

  /**
   * Leaders elected in a run: the first, one for each controller that fails, and two for the cut.
   */
  private static final int FOR_THE_CUT = 3;

  private static Stream<LinkCut> cells() {
    return LinkCut.all().stream();
  }

  /** Work for which a second start or a lost answer would show. */
  private List<Job> work() {
    Job longer = submit("blue", 12, 4, Duration.ofSeconds(30));
    Job cancelled = submit("red", 6, 4, LONG_RUN_TIME);
    awaitRunning(longer, 6);
    awaitRunning(cancelled, 2);
    cluster.run(8);
    return new ArrayList<>(List.of(longer, cancelled));
  }

  private void play(LinkCut cut, long seed, int controllers, boolean leader, int failing) {
    startCluster(seed, controllers);
    List<Job> jobs = work();
    SimulatedController leading = cluster.leader();
    SimulatedController node = leader ? leading : cluster.nodeAfter(leading);
    long terms = cluster.stateStore().value("c/term").path("term").longValue();
    cut.apply(cluster, node, MODES[(int) (seed % MODES.length)], CUT);
    cluster.schedule(2, () -> cluster.users().cancel(jobs.get(1).id()));
    for (int i = 0; i < failing; i++) {
      SimulatedController failed =
          cluster.nodes().get((cluster.nodes().indexOf(leading) + i) % controllers);
      cluster.schedule(1 + 1.5 * i, () -> failed.crash(Duration.ofMillis(300 + 900 * (seed % 4))));
    }
    cluster.schedule(3, () -> jobs.add(submit("red", 4, 2, Duration.ofSeconds(4))));
    cluster.run(100);
    assertAllEnded(jobs);
    long changes = cluster.stateStore().value("c/term").path("term").longValue() - terms;
    assertTrue(changes <= FOR_THE_CUT + failing, changes + " changes of leader");
    assertTrue(cluster.currentLeader().isPresent(), "somebody leads");
  }

  @ParameterizedTest
  @MethodSource("cells")
  void aLeaderLosesLinks(LinkCut cut) {
    for (int failing = 0; failing <= 3; failing++) {
      play(cut, 1 + failing, 3, true, failing);
    }
  }

  @ParameterizedTest
  @MethodSource("cells")
  void aFollowerLosesLinks(LinkCut cut) {
    for (int failing = 0; failing <= 3; failing++) {
      play(cut, 5 + failing, 3, false, failing);
    }
  }

  /** Five controllers, drawn by seeds, and two cells at a time. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12})
  void twoOfFiveControllersLoseLinks(long seed) {
    List<LinkCut> all = LinkCut.all();
    for (int i = 0; i < 4; i++) {
      startCluster(seed, 5);
      List<Job> jobs = work();
      SimulatedController leader = cluster.leader();
      LinkCut first = all.get(cluster.random().nextInt(all.size()));
      LinkCut second = all.get(cluster.random().nextInt(all.size()));
      first.apply(cluster, leader, MODES[i % MODES.length], CUT);
      cluster.run(0.5 * i);
      second.apply(cluster, cluster.nodeAfter(leader), MODES[(i + 1) % MODES.length], CUT);
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

  /** With an outage of the state store, and late copies of heartbeats, in the middle of the cut. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
  void aCutMeetsAnOutageAndLateCopies(long seed) {
    List<LinkCut> all = LinkCut.all();
    startCluster(seed, 3);
    cluster.network().setDuplicatingHeartbeats(true);
    List<Job> jobs = work();
    for (int i = 0; i < 3; i++) {
      LinkCut cut = all.get(cluster.random().nextInt(all.size()));
      cut.apply(cluster, cluster.leader(), MODES[(int) (seed + i) % MODES.length], CUT);
      cluster.run(3);
      cluster.stateStoreOutage(Duration.ofSeconds(3 + seed));
      cluster.run(30);
    }
    cluster.users().cancel(jobs.get(1).id());
    cluster.network().setDuplicatingHeartbeats(false);
    cluster.run(110);
    assertAllEnded(jobs);
  }

  /**
   * A leader that reaches the state store and none of its workers takes none of them for dead: no
   * machine with tasks is deleted, none is added in its place, and no task loses its lease. With
   * the hold of the fleet taken out of PartitionRule, machines are deleted.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
  void aLeaderDeletesAndAddsNoMachineOnItsOwnSilence(long seed) {
    startCluster(seed, 3);
    List<Job> jobs = work();
    // Nothing waits, so that no machine is to be added.
    awaitRunning(jobs.get(0), 12);
    awaitRunning(jobs.get(1), 6);
    List<String> busy =
        cluster.workers().stream()
            .filter(worker -> !worker.runningTasks().isEmpty())
            .map(worker -> worker.machine().name())
            .toList();
    int added = cluster.cloud().addedMachineCount();
    long leases = cluster.fleet().expiredLeaseCount();
    SimulatedController node = cluster.leader();
    new LinkCut(LinkCut.StateLink.UP, false, LinkCut.Workers.ALL, LinkCut.Way.BOTH)
        .apply(cluster, node, LinkFaults.Mode.HOLD, CUT);
    for (int i = 0; i < 120 && cluster.currentLeader().filter(node::equals).isPresent(); i++) {
      cluster.run(0.1);
    }
    assertTrue(busy.size() > 2, "the cut meets work");
    for (String machine : busy) {
      assertTrue(cluster.cloud().isRunning(machine), machine + " is deleted");
    }
    assertEquals(added, cluster.cloud().addedMachineCount(), "machines are added");
    assertEquals(leases, cluster.fleet().expiredLeaseCount(), "leases");
    cluster.users().cancel(jobs.get(1).id());
    cluster.run(90);
    assertAllEnded(jobs);
  }

  /** A leader that the state store alone does not answer records nothing, and says so. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4})
  void aLeaderWithoutTheStateServiceHoldsPlacing(long seed) {
    startCluster(seed, 3);
    work();
    SimulatedController node = cluster.leader();
    new LinkCut(LinkCut.StateLink.REFUSED, true, LinkCut.Workers.NONE, LinkCut.Way.BOTH)
        .apply(cluster, node, LinkFaults.Mode.DROP, CUT);
    cluster.run(2.5);
    assertTrue(node.isLeader(), "its workers go on");
    assertEquals("hold-placing", node.verdict().orElseThrow().name());
    cluster.run(CUT.plusSeconds(3));
    assertTrue(cluster.currentLeader().isPresent());
    assertEquals("serve", cluster.leader().verdict().orElseThrow().name());
  }

  /**
   * A zone from which no heartbeat comes waits for its leases, and its return starts nothing twice.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6})
  void aZoneWithoutHeartbeatsIsHeld(long seed) {
    startCluster(seed, 3);
    List<Job> jobs = new ArrayList<>();
    jobs.add(submit("blue", 20, 4, LONG_RUN_TIME));
    awaitRunning(jobs.get(0), 16);
    cluster.run(8);
    SimulatedController leader = cluster.leader();
    String zone = cluster.nodeAfter(leader).zone();
    List<String> there =
        cluster.workers().stream()
            .filter(worker -> worker.machine().zone().equals(zone))
            .map(worker -> worker.machine().name())
            .toList();
    cluster.network().cutZone(zone, SimulatedCluster.LEASE.plusSeconds(4));
    cluster.run(SimulatedCluster.LEASE.plusSeconds(3));
    if (there.size() > 1) {
      assertEquals("hold-zones", leader.verdict().orElseThrow().name());
      for (String machine : there) {
        assertTrue(cluster.cloud().isRunning(machine), machine + " is deleted");
      }
    }
    cluster.users().cancel(jobs.get(0).id());
    cluster.run(60);
    assertAllEnded(jobs);
  }

  /**
   * A leader that was cut off from its workers as it was elected did not miss them, since it had
   * never received their heartbeats: 317 tasks were killed by their lease. Without NEVER_SEEN the
   * leases run out.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6})
  void aLeaderCutOffAsItIsElectedHandsLeadershipOver(long seed) {
    startCluster(seed, 3);
    List<Job> jobs = work();
    long leases = cluster.fleet().expiredLeaseCount();
    SimulatedController old = cluster.leader();
    old.crash(Duration.ofMillis(500));
    SimulatedController next = awaitLeaderOtherThan(old, 0.01);
    cluster.cutLeaderFromWorkers(Duration.ofSeconds(40));
    cluster.run(14);
    assertTrue(cluster.leaderOtherThan(next).isPresent(), "another leads");
    assertEquals(leases, cluster.fleet().expiredLeaseCount(), "leases");
    cluster.users().cancel(jobs.get(1).id());
    cluster.run(90);
    assertAllEnded(jobs);
  }
}
