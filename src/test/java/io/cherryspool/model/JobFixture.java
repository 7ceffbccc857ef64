package io.cherryspool.model;

import java.time.Duration;
import java.time.Instant;

/** Plain jobs of team red for tests: any machine, no deadline, no checkpoints. */
public final class JobFixture {
  private JobFixture() {}

  /** A job that was submitted at the epoch, whose tasks take as many gigabytes as CPUs. */
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
