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

  /** A copy of a job in which some components may be changed before it is made. */
  public static final class Copy {
    private final Job source;
    private String team;
    private Resources perTask;
    private String requiredZone;
    private boolean requiresSingleZone;

    private Copy(Job source) {
      this.source = source;
      team = source.team();
      perTask = source.perTask();
      requiredZone = source.requiredZone();
      requiresSingleZone = source.requiresSingleZone();
    }

    public Copy ofTeam(String value) {
      team = value;
      return this;
    }

    public Copy withResources(Resources value) {
      perTask = value;
      return this;
    }

    public Copy boundTo(String zone) {
      requiredZone = zone;
      return this;
    }

    public Copy inSingleZone() {
      requiresSingleZone = true;
      return this;
    }

    public Job build() {
      return new Job(
          source.id(),
          source.jobClass(),
          team,
          source.priority(),
          source.taskCount(),
          perTask,
          source.image(),
          source.imageGb(),
          source.allowedTypes(),
          requiredZone,
          requiresSingleZone,
          source.requiresZoneSpread(),
          source.allowsSpot(),
          source.estimatedRunTime(),
          source.checkpointInterval(),
          source.checkpointDuration(),
          source.deadline(),
          source.submittedAt());
    }
  }

  /** A copy of the job. */
  public static Copy copyOf(Job job) {
    return new Copy(job);
  }
}
