package io.cherryspool.store;

import io.cherryspool.model.Job;
import io.cherryspool.model.Outcome;
import io.cherryspool.model.Shard;

/** Makes entries for tests outside this package. */
public final class JobEntryFixture {
  private JobEntryFixture() {}

  public static JobEntry of(Job job) {
    return new JobEntry(job, 100);
  }

  /** All tasks up to the given number run on one machine, by a record of version 7. */
  public static JobEntry running(Job job, int tasks, String machine) {
    JobEntry entry = of(job);
    Shard.Editor editor = Shard.EMPTY.edit();
    for (int task = 0; task < tasks; task++) {
      editor.assign(task, machine, 1, 5);
    }
    entry.setShard(0, new JobEntry.Versioned(editor.build(), 7));
    return entry;
  }

  /** Tasks that were tried as often as they failed, and wait. */
  public static JobEntry failed(Job job, int... failures) {
    JobEntry entry = of(job);
    Shard.Editor editor = Shard.EMPTY.edit();
    for (int task = 0; task < failures.length; task++) {
      editor.putHistory(task, new Shard.History(failures[task] + 1, failures[task]));
    }
    entry.setShard(0, new JobEntry.Versioned(editor.build(), 7));
    return entry;
  }

  public static void end(JobEntry entry, Outcome outcome) {
    entry.setOutcome(outcome);
  }
}
