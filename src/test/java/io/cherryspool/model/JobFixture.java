package io.cherryspool.model;

import java.time.Duration;
import java.time.Instant;

/**
 * Creates simple jobs of team red for tests, which may run on any machine and have no deadline and
 * no checkpoints.
 */
public final class JobFixture {
  private JobFixture() {}

  /** Returns a job submitted at the epoch, whose tasks need as many gigabytes of memory as CPUs. */
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

  /** Builds a copy of a job in which some components are changed. */
  public static final class Builder {
    private final Job source;
    private String team;
    private Resources perTask;
    private String requiredZone;
    private boolean requiresSingleZone;

    private Builder(Job source) {
      this.source = source;
      team = source.team();
      perTask = source.perTask();
      requiredZone = source.requiredZone();
      requiresSingleZone = source.requiresSingleZone();
    }

    public Builder withTeam(String value) {
      team = value;
      return this;
    }

    public Builder withResources(Resources value) {
      perTask = value;
      return this;
    }

    public Builder withRequiredZone(String zone) {
      requiredZone = zone;
      return this;
    }

    public Builder withSingleZoneRequired() {
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

  /** Returns a builder of copies of the job. */
  public static Builder builderFrom(Job job) {
    return new Builder(job);
  }
}
