package io.cherryspool.store;

import io.cherryspool.model.Job;
import io.cherryspool.model.Outcome;
import io.cherryspool.model.Shard;

/** Creates job records for tests outside this package. */
public final class JobRecordFixture {
  private JobRecordFixture() {}

  public static JobRecord acceptedRecord(Job job) {
    return new JobRecord(job, 100);
  }

  /**
   * Creates a job whose first {@code tasks} tasks run on one machine. Its progress record has
   * version 7.
   */
  public static JobRecord runningRecord(Job job, int tasks, String machine) {
    JobRecord record = acceptedRecord(job);
    Shard.Editor editor = Shard.EMPTY.edit();
    for (int task = 0; task < tasks; task++) {
      editor.assign(task, machine, 1, 5);
    }
    record.setShard(0, new JobRecord.VersionedShard(editor.build(), 7));
    return record;
  }

  /**
   * Creates a job whose tasks have failed the given numbers of times and are not owned by a
   * machine.
   */
  public static JobRecord recordWithFailures(Job job, int... failures) {
    JobRecord record = acceptedRecord(job);
    Shard.Editor editor = Shard.EMPTY.edit();
    for (int task = 0; task < failures.length; task++) {
      editor.putHistory(task, new Shard.History(failures[task] + 1, failures[task]));
    }
    record.setShard(0, new JobRecord.VersionedShard(editor.build(), 7));
    return record;
  }

  public static void setOutcome(JobRecord record, Outcome outcome) {
    record.setOutcome(outcome);
  }
}
