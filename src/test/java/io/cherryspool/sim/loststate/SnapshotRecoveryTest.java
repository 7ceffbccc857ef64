package io.cherryspool.sim.loststate;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cherryspool.config.RecoverySettings;
import io.cherryspool.http.Request;
import io.cherryspool.model.Job;
import io.cherryspool.sim.cluster.DirectedFaultsFixture;
import io.cherryspool.sim.cluster.SimulatedCluster;
import io.cherryspool.sim.cluster.SimulatedController;
import io.cherryspool.sim.time.ProcessInbox;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * The state store loses its data, and all controllers end with it: what is left is the snapshots on
 * their disks and what the workers run.
 */
class SnapshotRecoveryTest extends DirectedFaultsFixture {
  private static final Duration EVERY = Duration.ofSeconds(5);

  private void begin(long seed, Set<String> heldClasses) {
    cluster =
        SimulatedCluster.withRecovery(
            seed,
            3,
            new RecoverySettings(
                Duration.ofMillis(1500), Optional.of(Path.of("disk")), EVERY, heldClasses));
    cluster.run(25);
  }

  /** All processes end and the data is gone; the processes are back within a few seconds. */
  private void loseEverything(long seed) {
    cluster.stateStore().loseAllData();
    for (SimulatedController node : cluster.nodes()) {
      node.crash(Duration.ofMillis(300 + 900 * (seed % 4)));
    }
  }

  /** Jobs that a snapshot saw: done, running, waiting. */
  private List<Job> seenBySnapshots() {
    List<Job> jobs = new ArrayList<>();
    jobs.add(submit("red", 3, 2, Duration.ofSeconds(2)));
    jobs.add(submit("blue", 20, 4, Duration.ofSeconds(25)));
    cluster.run(14);
    assertTrue(cluster.rules().hasEnded(jobs.get(0).id()), "one is done");
    return jobs;
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
  void jobsThatASnapshotSawAreServed(long seed) {
    begin(seed, Set.of());
    List<Job> jobs = seenBySnapshots();
    loseEverything(seed);
    cluster.run(110);
    assertAllEnded(jobs);
    assertEquals(0, cluster.fleet().expiredLeaseCount(), "what ran went on running");
  }

  /** Tasks begin and end after the newest snapshot; what runs is adopted, what is done counts. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
  void theSnapshotIsOlderThanTheNewestWork(long seed) {
    begin(seed, Set.of());
    List<Job> jobs = seenBySnapshots();
    for (SimulatedController node : cluster.nodes()) {
      node.snapshotStore().dropWrites();
    }
    cluster.run(6 + seed);
    Job late = submit("guest", 5, 0.5, Duration.ofSeconds(60));
    cluster.run(5);
    int running = cluster.fleet().runningTaskCount(late);
    assertTrue(running > 0, "its tasks run");
    loseEverything(seed);
    cluster.run(25);
    assertTrue(cluster.fleet().runningTaskCount(late) >= running, "tasks of an unknown job run on");
    assertFalse(cluster.rules().hasEnded(late.id()));
    cluster.users().resubmit(late);
    jobs.add(late);
    cluster.run(120);
    assertAllEnded(jobs);
  }

  /** The newest snapshot is torn; the one before it is used. */
  @Test
  void aTornSnapshotIsPassedOver() {
    begin(1, Set.of());
    List<Job> jobs = seenBySnapshots();
    for (SimulatedController node : cluster.nodes()) {
      node.snapshotStore().dropWrites();
      node.snapshotStore().truncateNewest();
    }
    loseEverything(1);
    cluster.run(110);
    assertAllEnded(jobs);
  }

  /** Only one node has its disk back; it is waited for, since it retains most. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void oneDiskIsEnough(long seed) {
    begin(seed, Set.of());
    List<Job> jobs = seenBySnapshots();
    loseEverything(seed);
    for (int i = 0; i < cluster.nodes().size(); i++) {
      if (i != seed % 3) {
        cluster.nodes().get(i).snapshotStore().deleteAll();
      }
    }
    cluster.run(110);
    assertAllEnded(jobs);
  }

  /** A class whose tasks an operator wants to be asked about is not run again unasked. */
  @Test
  void heldClassesWaitForAnOperator() {
    begin(1, Set.of("lane"));
    Job job = submit("blue", 6, 4, Duration.ofSeconds(30));
    cluster.run(12);
    assertEquals(6, cluster.fleet().runningTaskCount(job));
    for (SimulatedController node : cluster.nodes()) {
      node.snapshotStore().dropWrites();
    }
    // One machine dies with what it runs; whether that had ended, no heartbeat will show.
    cluster.fleet().killBusiestMachine();
    cluster.run(0.2);
    int left = cluster.fleet().runningTaskCount(job);
    assertTrue(left < 6, "some of them are gone");
    loseEverything(1);
    cluster.run(70);
    assertTrue(cluster.stateStore().hasKeyEndingWith("/held/" + job.id()), "the job is held");
    assertFalse(cluster.rules().hasEnded(job.id()), "nothing of it was run again");
    assertEquals(
        409, postRecoveryCommand("resolve", "{\"job\":\"req-999998\",\"decision\":\"repeat\"}"));
    String decision = "{\"job\":\"" + job.id() + "\",\"decision\":\"repeat\"}";
    assertEquals(200, postRecoveryCommand("resolve", decision));
    assertEquals(409, postRecoveryCommand("resolve", decision), "it is not held any more");
    cluster.run(70);
    assertTrue(cluster.rules().hasEnded(job.id()), "it was run again once that was decided");
  }

  /**
   * No node retains anything, only the workers do: what they run is left alone, and no job begins.
   */
  @Test
  void withoutSnapshotsWhatRunsIsKeptUntilItsUsersComeAgain() {
    begin(1, Set.of());
    Job job = submit("blue", 6, 4, Duration.ofSeconds(60));
    cluster.run(12);
    assertEquals(6, cluster.fleet().runningTaskCount(job));
    loseEverything(0);
    cluster.nodes().forEach(node -> node.snapshotStore().deleteAll());
    cluster.run(40);
    assertEquals(6, cluster.fleet().runningTaskCount(job), "it runs on");
    cluster.users().resubmit(job);
    cluster.run(80);
    assertTrue(cluster.rules().hasEnded(job.id()));
  }

  @Test
  void anUnknownJobCanBeAbandoned() {
    begin(1, Set.of());
    Job job = submit("blue", 6, 4, Duration.ofSeconds(200));
    cluster.run(12);
    loseEverything(0);
    cluster.nodes().forEach(node -> node.snapshotStore().deleteAll());
    cluster.run(40);
    String repeat = "{\"job\":\"" + job.id() + "\",\"decision\":\"repeat\"}";
    assertEquals(409, postRecoveryCommand("resolve", repeat), "nobody has described it");
    String abandon = "{\"job\":\"" + job.id() + "\",\"decision\":\"abandon\"}";
    cluster.users().stopPolling(job.id());
    assertEquals(200, postRecoveryCommand("resolve", abandon));
    cluster.run(8);
    assertEquals(0, cluster.fleet().runningTaskCount(job), "its tasks are stopped");
  }

  /** Posts to the operators' API of the first node; the status of the answer, 0 without one. */
  private int postRecoveryCommand(String command, String body) {
    int[] status = {0};
    cluster
        .network()
        .transportFrom("operator", ProcessInbox.alwaysOpen())
        .send(
            cluster.nodes().get(0).address(),
            Request.post("/recovery/" + command, body.getBytes(StandardCharsets.UTF_8)),
            Duration.ofSeconds(2))
        .thenAccept(reply -> status[0] = reply.status());
    cluster.run(2.5);
    return status[0];
  }
}
