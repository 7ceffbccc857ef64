package io.cherryspool.store;

import io.cherryspool.model.Attempt;
import io.cherryspool.model.Job;
import io.cherryspool.model.JobFixture;
import io.cherryspool.model.Outcome;
import io.cherryspool.model.Priority;
import io.cherryspool.model.Shard;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;
import org.pcollections.PSortedMap;
import org.pcollections.TreePMap;

/** Creates snapshots as the nodes of a cluster may retain them. */
public final class RecordsSnapshotFixture {
  private static final int TASKS_PER_SHARD = 8;
  private static final int MACHINES = 6;

  private RecordsSnapshotFixture() {}

  /**
   * Creates a random history of a cluster with the given number of steps, and returns a snapshot
   * after each step.
   */
  public static List<RecordsSnapshot> history(long seed, int steps) {
    SplittableRandom random = new SplittableRandom(seed);
    List<RecordsSnapshot> history = new ArrayList<>();
    PMap<String, RecordsSnapshot.JobSnapshot> jobs = HashTreePMap.empty();
    for (int i = 0; i < 3; i++) {
      Job job = JobFixture.job(id(i), Priority.NORMAL, 3 + random.nextInt(20), 1);
      jobs = jobs.plus(job.id(), RecordsSnapshot.JobSnapshot.ofAcceptedJob(job, TASKS_PER_SHARD));
    }
    for (int step = 1; step <= steps; step++) {
      jobs = step(jobs, random, step);
      history.add(
          new RecordsSnapshot(
              "cluster", "", new Incarnation.HistoryPosition(0, step), 1 + step / 10, null, jobs));
    }
    return history;
  }

  private static String id(int number) {
    return String.format("req-%06d", number + 1);
  }

  private static PMap<String, RecordsSnapshot.JobSnapshot> step(
      PMap<String, RecordsSnapshot.JobSnapshot> jobs, SplittableRandom random, int step) {
    if (random.nextInt(6) == 0) {
      Job job = JobFixture.job(id(jobs.size()), Priority.NORMAL, 1 + random.nextInt(30), 1);
      return jobs.plus(job.id(), RecordsSnapshot.JobSnapshot.ofAcceptedJob(job, TASKS_PER_SHARD));
    }
    String id = id(random.nextInt(jobs.size()));
    RecordsSnapshot.JobSnapshot job = jobs.get(id);
    if (job.outcome() != null) {
      return jobs;
    }
    if (random.nextInt(12) == 0) {
      return jobs.plus(id, job.withOutcome(Outcome.CANCELLED));
    }
    int task = random.nextInt(job.job().taskCount());
    int index = task / TASKS_PER_SHARD;
    Shard shard = job.shards().getOrDefault(index, Shard.EMPTY);
    RecordsSnapshot.JobSnapshot next =
        job.withShard(index, nextProgress(shard, task, random, step));
    return jobs.plus(id, isDone(next) ? next.withOutcome(Outcome.DONE) : next);
  }

  /** Applies a random change of a task that can occur in the records. */
  private static Shard nextProgress(Shard shard, int task, SplittableRandom random, long token) {
    if (shard.isDone(task)) {
      return shard;
    }
    if (shard.ownedAttempt(task) == null) {
      String machine = "host-" + random.nextInt(MACHINES);
      return shard.edit().assign(task, machine, 1 + random.nextInt(2), token).build();
    }
    return random.nextBoolean()
        ? shard.edit().complete(task).build()
        : shard.edit().release(task, random.nextBoolean()).build();
  }

  private static boolean isDone(RecordsSnapshot.JobSnapshot job) {
    return job.shards().values().stream().mapToInt(Shard::doneCount).sum() == job.job().taskCount();
  }

  /** Creates a job whose tasks are all owned, which gives the largest records possible. */
  public static RecordsSnapshot.JobSnapshot running(Job job, int tasksPerShard) {
    PSortedMap<Integer, Shard> shards = TreePMap.empty();
    for (int first = 0; first < job.taskCount(); first += tasksPerShard) {
      Shard.Editor editor = Shard.EMPTY.edit();
      for (int task = first; task < Math.min(job.taskCount(), first + tasksPerShard); task++) {
        editor.adopt(new Attempt(task, "host-" + (100_000 + task % 4000), 1, 1, 1L << 33));
      }
      shards = shards.plus(first / tasksPerShard, editor.build());
    }
    return new RecordsSnapshot.JobSnapshot(job, tasksPerShard, null, shards);
  }

  /** Returns the jobs as text, for comparisons. */
  public static String text(RecordsSnapshot snapshot) {
    StringBuilder text = new StringBuilder();
    snapshot.jobs().keySet().stream()
        .sorted()
        .forEach(
            id -> {
              RecordsSnapshot.JobSnapshot job = snapshot.jobs().get(id);
              text.append(id).append(' ').append(job.outcome()).append('\n');
              job.shards()
                  .forEach(
                      (index, shard) ->
                          text.append(index).append(' ').append(sorted(shard)).append('\n'));
            });
    return text.toString();
  }

  private static String sorted(Shard shard) {
    StringBuilder text = new StringBuilder();
    for (int task = shard.nextDone(0); task >= 0; task = shard.nextDone(task + 1)) {
      text.append(task).append(" done ");
    }
    shard
        .histories()
        .keySet()
        .intStream()
        .sorted()
        .forEach(
            task ->
                text.append(task)
                    .append(' ')
                    .append(shard.history(task))
                    .append(shard.ownedAttempt(task)));
    return text.toString();
  }
}
