package io.cherryspool.model;

import java.time.Duration;
import java.time.Instant;

/** Plain jobs for tests: any machine, no deadline, nothing saved. */
public final class JobFixture {
  private JobFixture() {}

  public static Job job(String id, Priority priority, int tasks, double cpus) {
    return new Job(
        id,
        "lane",
        "red",
        priority,
        tasks,
        new Resources(cpus, 0, cpus),
        "img",
        1,
        null,
        null,
        false,
        false,
        true,
        Duration.ofSeconds(30),
        Duration.ZERO,
        Duration.ZERO,
        null,
        Instant.EPOCH);
  }
}
