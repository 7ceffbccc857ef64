package io.cherryspool.store;

import io.cherryspool.model.Job;

/** Makes entries for tests outside this package. */
public final class JobEntryFixture {
  private JobEntryFixture() {}

  public static JobEntry of(Job job) {
    return new JobEntry(job, 100);
  }
}
