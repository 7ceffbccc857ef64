package io.cherryspool.compatibility;

import io.cherryspool.model.Attempt;
import io.cherryspool.model.Job;
import io.cherryspool.model.MachineType;
import io.cherryspool.model.Outcome;
import io.cherryspool.model.Priority;
import io.cherryspool.model.Resources;
import io.cherryspool.model.Shard;
import io.cherryspool.store.RecordsSnapshot;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;
import org.pcollections.TreePMap;

/** The values that were encoded as the recorded bytes. They must not change. */
public final class SampleRecords {
  public static final Instant SUBMITTED = Instant.ofEpochMilli(1_764_692_800_123L);

  public static final int TASKS_PER_SHARD = 200;

  /** A job with all optional fields. */
  public static final Job CONSTRAINED_JOB =
      new Job(
          "req-000412",
          "train",
          "blue",
          Priority.HIGH,
          450,
          new Resources(7.5, 2, 30.25),
          "img-\u00e9t\u00e9-3",
          12.5,
          List.of("box", "crate"),
          "zone-a",
          true,
          false,
          true,
          Duration.ofMillis(90_500),
          Duration.ofSeconds(60),
          Duration.ofMillis(2500),
          Duration.ofHours(2),
          SUBMITTED);

  /** A job without any optional field. */
  public static final Job PLAIN_JOB =
      new Job(
          "req-000007",
          "lane",
          "red",
          Priority.LOW,
          3,
          new Resources(1, 0, 2),
          "img",
          1,
          null,
          null,
          false,
          true,
          false,
          Duration.ofSeconds(30),
          Duration.ZERO,
          Duration.ZERO,
          null,
          SUBMITTED.plusSeconds(1));

  public static final List<MachineType> CATALOG =
      List.of(
          new MachineType(
              "box",
              new Resources(16, 0, 64),
              50,
              0.5,
              1,
              0.4,
              Duration.ofSeconds(50),
              List.of("zone-a", "zone-b")),
          new MachineType(
              "crate",
              new Resources(4, 1, 16),
              100,
              0.25,
              0.75,
              0,
              Duration.ofMillis(12_500),
              List.of("zone-a")));

  private SampleRecords() {}

  /** Returns a shard with finished, owned, failed and free tasks. */
  public static Shard shard() {
    return Shard.EMPTY
        .edit()
        .markDone(0, 9)
        .markDone(12, 12)
        .putOwnedAttempt(new Attempt(10, "host-000003", 2, 1, 77))
        .putOwnedAttempt(new Attempt(14, "host-000120", 1, 3, 1L << 33))
        .putHistory(10, new Shard.History(1, 0))
        .putHistory(14, new Shard.History(3, 2))
        .putHistory(15, new Shard.History(5, 5))
        .build();
  }

  /** Returns a running job with progress records and a cancelled job. */
  public static PMap<String, RecordsSnapshot.JobSnapshot> jobs() {
    RecordsSnapshot.JobSnapshot running =
        new RecordsSnapshot.JobSnapshot(
            CONSTRAINED_JOB,
            TASKS_PER_SHARD,
            null,
            TreePMap.singleton(0, shard()).plus(2, Shard.EMPTY.edit().markDone(400, 449).build()));
    RecordsSnapshot.JobSnapshot cancelled =
        RecordsSnapshot.JobSnapshot.ofAcceptedJob(PLAIN_JOB, TASKS_PER_SHARD)
            .withOutcome(Outcome.CANCELLED);
    return HashTreePMap.<String, RecordsSnapshot.JobSnapshot>empty()
        .plus(CONSTRAINED_JOB.id(), running)
        .plus(PLAIN_JOB.id(), cancelled);
  }
}
