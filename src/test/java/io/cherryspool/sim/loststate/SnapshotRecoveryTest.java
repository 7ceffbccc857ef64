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
 * Tests the recovery after the state store has lost its data and all controllers have crashed. Only
 * the snapshots on the controllers' disks and the tasks that workers run are left.
 */
class SnapshotRecoveryTest extends DirectedFaultsFixture {
  private static final Duration SNAPSHOT_INTERVAL = Duration.ofSeconds(5);

  private void startCluster(long seed, Set<String> heldClasses) {
    cluster =
        SimulatedCluster.withRecovery(
            seed,
            3,
            new RecoverySettings(
                Duration.ofMillis(1500),
                Optional.of(Path.of("disk")),
                SNAPSHOT_INTERVAL,
                heldClasses));
    cluster.run(25);
  }

  /** Deletes the data of the state store and crashes all controllers, which restart within 3 s. */
  private void loseDataAndCrashAllNodes(long seed) {
    cluster.stateStore().loseAllData();
    for (SimulatedController node : cluster.nodes()) {
      node.crash(Duration.ofMillis(300 + 900 * (seed % 4)));
    }
  }

  /** Submits jobs and runs until snapshots contain them with done, running and waiting tasks. */
  private List<Job> runJobsUntilSnapshot() {
    List<Job> jobs = new ArrayList<>();
    jobs.add(submit("red", 3, 2, Duration.ofSeconds(2)));
    jobs.add(submit("blue", 20, 4, Duration.ofSeconds(25)));
    cluster.run(14);
    assertTrue(cluster.rules().hasEnded(jobs.get(0).id()), "the first job has not ended");
    return jobs;
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
  void jobsInASnapshotEndWithoutLosingRunningTasks(long seed) {
    startCluster(seed, Set.of());
    List<Job> jobs = runJobsUntilSnapshot();
    loseDataAndCrashAllNodes(seed);
    cluster.run(110);
    assertAllEnded(jobs);
    assertEquals(0, cluster.fleet().expiredLeaseCount(), "number of expired leases");
  }

  /**
   * Tasks start and end after the newest snapshot. Running tasks are adopted, and tasks that have
   * ended count as done.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
  void tasksOfAJobNewerThanTheSnapshotsKeepRunningUntilItIsResubmitted(long seed) {
    startCluster(seed, Set.of());
    List<Job> jobs = runJobsUntilSnapshot();
    for (SimulatedController node : cluster.nodes()) {
      node.snapshotStore().dropWrites();
    }
    cluster.run(6 + seed);
    Job newerJob = submit("guest", 5, 0.5, Duration.ofSeconds(60));
    cluster.run(5);
    int runningBefore = cluster.fleet().runningTaskCount(newerJob);
    assertTrue(runningBefore > 0, "no task of the job runs before the loss");
    loseDataAndCrashAllNodes(seed);
    cluster.run(25);
    assertTrue(
        cluster.fleet().runningTaskCount(newerJob) >= runningBefore,
        "tasks of the unknown job were stopped");
    assertFalse(cluster.rules().hasEnded(newerJob.id()));
    cluster.users().resubmit(newerJob);
    jobs.add(newerJob);
    cluster.run(120);
    assertAllEnded(jobs);
  }

  /** The newest snapshot of each node is truncated, and the one before it is used. */
  @Test
  void jobsEndIfTheNewestSnapshotIsTruncated() {
    startCluster(1, Set.of());
    List<Job> jobs = runJobsUntilSnapshot();
    for (SimulatedController node : cluster.nodes()) {
      node.snapshotStore().dropWrites();
      node.snapshotStore().truncateNewest();
    }
    loseDataAndCrashAllNodes(1);
    cluster.run(110);
    assertAllEnded(jobs);
  }

  /**
   * Only one node still has its snapshots when it restarts. The others wait for it, since it
   * retains the most records.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void jobsEndIfOnlyOneNodeKeepsItsSnapshots(long seed) {
    startCluster(seed, Set.of());
    List<Job> jobs = runJobsUntilSnapshot();
    loseDataAndCrashAllNodes(seed);
    for (int i = 0; i < cluster.nodes().size(); i++) {
      if (i != seed % 3) {
        cluster.nodes().get(i).snapshotStore().deleteAll();
      }
    }
    cluster.run(110);
    assertAllEnded(jobs);
  }

  /**
   * Tasks of a held class that may have ended unnoticed are not run again until an operator decides
   * to repeat them.
   */
  @Test
  void aJobOfAHeldClassIsNotRunAgainUntilAnOperatorDecides() {
    startCluster(1, Set.of("lane"));
    Job job = submit("blue", 6, 4, Duration.ofSeconds(30));
    cluster.run(12);
    assertEquals(6, cluster.fleet().runningTaskCount(job));
    for (SimulatedController node : cluster.nodes()) {
      node.snapshotStore().dropWrites();
    }
    // One machine is killed with its tasks. No heartbeat will show whether they had ended.
    cluster.fleet().killBusiestMachine();
    cluster.run(0.2);
    int remainingTasks = cluster.fleet().runningTaskCount(job);
    assertTrue(remainingTasks < 6, "no task was lost with the machine");
    loseDataAndCrashAllNodes(1);
    cluster.run(70);
    assertTrue(cluster.stateStore().hasKeyEndingWith("/held/" + job.id()), "the job is not held");
    assertFalse(cluster.rules().hasEnded(job.id()), "the job has ended without a decision");
    assertEquals(
        409, postRecoveryCommand("resolve", "{\"job\":\"req-999998\",\"decision\":\"repeat\"}"));
    String decision = "{\"job\":\"" + job.id() + "\",\"decision\":\"repeat\"}";
    assertEquals(200, postRecoveryCommand("resolve", decision));
    assertEquals(
        409,
        postRecoveryCommand("resolve", decision),
        "a decision on a job that is no longer held must be refused");
    cluster.run(70);
    assertTrue(
        cluster.rules().hasEnded(job.id()),
        "the job has not ended after the decision to repeat it");
  }

  /**
   * No node retains any records, but workers still run tasks. These tasks keep running, and no job
   * is started.
   */
  @Test
  void withoutSnapshotsTasksKeepRunningUntilTheirJobIsResubmitted() {
    startCluster(1, Set.of());
    Job job = submit("blue", 6, 4, Duration.ofSeconds(60));
    cluster.run(12);
    assertEquals(6, cluster.fleet().runningTaskCount(job));
    loseDataAndCrashAllNodes(0);
    cluster.nodes().forEach(node -> node.snapshotStore().deleteAll());
    cluster.run(40);
    assertEquals(6, cluster.fleet().runningTaskCount(job), "number of running tasks");
    cluster.users().resubmit(job);
    cluster.run(80);
    assertTrue(cluster.rules().hasEnded(job.id()));
  }

  @Test
  void abandoningAnUnknownJobStopsItsTasks() {
    startCluster(1, Set.of());
    Job job = submit("blue", 6, 4, Duration.ofSeconds(200));
    cluster.run(12);
    loseDataAndCrashAllNodes(0);
    cluster.nodes().forEach(node -> node.snapshotStore().deleteAll());
    cluster.run(40);
    String repeatDecision = "{\"job\":\"" + job.id() + "\",\"decision\":\"repeat\"}";
    assertEquals(
        409,
        postRecoveryCommand("resolve", repeatDecision),
        "a job whose description is lost must not be repeated");
    String abandonDecision = "{\"job\":\"" + job.id() + "\",\"decision\":\"abandon\"}";
    cluster.users().stopPolling(job.id());
    assertEquals(200, postRecoveryCommand("resolve", abandonDecision));
    cluster.run(8);
    assertEquals(0, cluster.fleet().runningTaskCount(job), "number of running tasks");
  }

  /**
   * Posts a command to the operators' API of the first node, and returns the status of the reply,
   * or 0 if there is none.
   */
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
