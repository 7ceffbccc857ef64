package io.cherryspool.controller.rounds;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cherryspool.controller.ownership.Ownership;
import io.cherryspool.controller.release.PendingReleases;
import io.cherryspool.controller.release.TerminationEvidence;
import io.cherryspool.model.Attempt;
import io.cherryspool.model.Job;
import io.cherryspool.model.JobFixture;
import io.cherryspool.model.Priority;
import io.cherryspool.model.TaskId;
import io.cherryspool.store.JobRecord;
import io.cherryspool.store.JobRecordFixture;
import io.cherryspool.store.RateLimiter;
import io.cherryspool.store.Records;
import io.cherryspool.wire.StateStoreProtocol;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Tests which changes a round writes. When each end of a task was written separately, no writes
 * were left for starts.
 */
class RoundChangeSetBuilderTest {
  private static final String JOB_ID = "req-000001";
  private static final Duration DUE = Duration.ofSeconds(100);
  private static final Duration OVERDUE = Duration.ofSeconds(80);

  private final Job job = JobFixture.job(JOB_ID, Priority.NORMAL, 4, 1);
  private final JobRecord jobRecord = JobRecordFixture.runningRecord(job, 3, "host-1");
  private final PendingReleases pendingReleases = new PendingReleases();

  private void addRelease(int task, TerminationEvidence.Assessment assessment, int at) {
    Attempt attempt = jobRecord.shard(0).shard().ownedAttempt(task);
    pendingReleases.add(
        new PendingReleases.Release(
            new Ownership.OwnedTask(jobRecord, new TaskId(JOB_ID, task), attempt),
            assessment,
            Duration.ofSeconds(at)));
  }

  private List<ChangeSet> changeSets(RoundChangeSetBuilder builder) {
    return builder.changeSets(List.of(jobRecord), DUE, OVERDUE);
  }

  private RoundChangeSetBuilder newBuilder() {
    return new RoundChangeSetBuilder(pendingReleases, 8);
  }

  @Test
  void recentReleaseIsWrittenOnlyWithAnotherChangeOfItsShard() {
    addRelease(0, TerminationEvidence.Assessment.DONE, 101);
    assertEquals(List.of(), changeSets(newBuilder()));
    RoundChangeSetBuilder builder = newBuilder();
    builder.assign(jobRecord, 3, "host-2", 1, 9);
    List<ChangeSet> changeSets = changeSets(builder);
    assertEquals(1, changeSets.size());
    String value = changeSets.get(0).changes().get(0).value().toString();
    assertTrue(value.contains("\"done\":[0,0]"), value);
    assertTrue(value.contains("[3,\"host-2\",1,1,9]"), value);
    assertEquals(7L, changeSets.get(0).conditions().get(Records.progressKey(JOB_ID, 0)));
    assertEquals(
        0L,
        changeSets.get(0).conditions().get(Records.outcomeKey(JOB_ID)),
        "a task must not be started after a cancellation");
  }

  @Test
  void dueReleaseIsDeferrableUntilItIsOverdue() {
    addRelease(0, TerminationEvidence.Assessment.DONE, 99);
    assertEquals(RateLimiter.WriteClass.DEFERRABLE, changeSets(newBuilder()).get(0).writeClass());
    addRelease(1, TerminationEvidence.Assessment.FAILED, 79);
    assertEquals(RateLimiter.WriteClass.ROUND, changeSets(newBuilder()).get(0).writeClass());
  }

  /** The freed task is assigned again before its release is written. */
  @Test
  void releaseAndNextStartOfATaskAreOneChange() {
    addRelease(2, TerminationEvidence.Assessment.LOST, 101);
    RoundChangeSetBuilder builder = newBuilder();
    builder.assign(jobRecord, 2, "host-2", 4, 9);
    String value = changeSets(builder).get(0).changes().get(0).value().toString();
    assertTrue(value.contains("[2,\"host-2\",4,2,9]"), value);
    assertTrue(value.contains("[2,2,1]"), "expected two attempts and one failure in " + value);
  }

  @Test
  void lastReleaseOfAJobIsWrittenAtOnceAsItsOutcome() {
    JobRecord all =
        JobRecordFixture.runningRecord(JobFixture.job(JOB_ID, Priority.NORMAL, 2, 1), 2, "host-1");
    for (int task = 0; task < 2; task++) {
      Attempt attempt = all.shard(0).shard().ownedAttempt(task);
      pendingReleases.add(
          new PendingReleases.Release(
              new Ownership.OwnedTask(all, new TaskId(JOB_ID, task), attempt),
              TerminationEvidence.Assessment.DONE,
              Duration.ofSeconds(101)));
    }
    List<ChangeSet> changeSets = newBuilder().changeSets(List.of(all), DUE, OVERDUE);
    assertEquals(1, changeSets.size());
    assertEquals(
        List.of(Records.outcomeKey(JOB_ID)),
        changeSets.get(0).changes().stream().map(StateStoreProtocol.Change::key).toList(),
        "one change ends a job");
    assertEquals(
        0L,
        changeSets.get(0).conditions().get(Records.outcomeKey(JOB_ID)),
        "a cancelled job must not be recorded as done");
    assertEquals(7L, changeSets.get(0).conditions().get(Records.progressKey(JOB_ID, 0)));
    assertEquals(RateLimiter.WriteClass.ROUND, changeSets.get(0).writeClass());
  }
}
