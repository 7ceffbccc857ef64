package io.cherryspool.store;

import io.cherryspool.model.Job;
import io.cherryspool.model.Outcome;
import io.cherryspool.model.Shard;

/** Makes entries for tests outside this package. */
public final class JobRecordFixture {
  private JobRecordFixture() {}

  public static JobRecord accepted(Job job) {
    return new JobRecord(job, 100);
  }

  /** All tasks up to the given number run on one machine, by a record of version 7. */
  public static JobRecord running(Job job, int tasks, String machine) {
    JobRecord record = accepted(job);
    Shard.Editor editor = Shard.EMPTY.edit();
    for (int task = 0; task < tasks; task++) {
      editor.assign(task, machine, 1, 5);
    }
    record.setShard(0, new JobRecord.VersionedShard(editor.build(), 7));
    return record;
  }

  /** Tasks that were tried as often as they failed, and wait. */
  public static JobRecord failed(Job job, int... failures) {
    JobRecord record = accepted(job);
    Shard.Editor editor = Shard.EMPTY.edit();
    for (int task = 0; task < failures.length; task++) {
      editor.putHistory(task, new Shard.History(failures[task] + 1, failures[task]));
    }
    record.setShard(0, new JobRecord.VersionedShard(editor.build(), 7));
    return record;
  }

  public static void end(JobRecord record, Outcome outcome) {
    record.setOutcome(outcome);
  }
}
