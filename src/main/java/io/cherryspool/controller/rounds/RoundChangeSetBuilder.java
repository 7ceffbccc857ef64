package io.cherryspool.controller.rounds;

import io.cherryspool.controller.release.PendingReleases;
import io.cherryspool.model.Attempt;
import io.cherryspool.model.Outcome;
import io.cherryspool.model.Priority;
import io.cherryspool.model.Shard;
import io.cherryspool.store.JobRecord;
import io.cherryspool.store.RateLimiter;
import io.cherryspool.store.Records;
import io.cherryspool.wire.StateStoreProtocol;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Converts a round's assignments and the pending releases into change sets, the most urgent first:
 * ends of jobs, then starts of tasks, which include the releases of the same shard, then releases
 * that have waited long enough, then removals of ended jobs' records. Ends and starts of
 * low-priority jobs come after those of all other jobs, since otherwise the ends of low-priority
 * jobs would delay the starts of more urgent tasks.
 *
 * <p>Each instance serves one round; {@link #changeSets} is called once, at its end.
 */
final class RoundChangeSetBuilder {
  private final PendingReleases pendingReleases;
  private final int maxChanges;
  private final Map<String, JobEdit> edits = new LinkedHashMap<>();

  /** Ends and starts for all jobs except low-priority jobs. */
  private final UrgentChanges regularPriority = new UrgentChanges();

  private final UrgentChanges lowPriority = new UrgentChanges();

  /** Changes that may be delayed to a later round. */
  private final List<ChangeSet> deferrable = new ArrayList<>();

  /**
   * Creates a builder without changes.
   *
   * @param maxChanges the maximum number of changes in a transaction of the state store
   */
  RoundChangeSetBuilder(PendingReleases pendingReleases, int maxChanges) {
    this.pendingReleases = pendingReleases;
    this.maxChanges = maxChanges;
  }

  /**
   * Urgent change sets of one priority group, in which ends of jobs come before starts of tasks.
   */
  private static final class UrgentChanges {
    private final List<ChangeSet> ends = new ArrayList<>();
    private final List<ChangeSet> starts = new ArrayList<>();
  }

  /** Assigns the free task to the machine, as the next attempt of the task. */
  void assign(JobRecord job, int task, String machine, long agentEpoch, long token) {
    JobEdit edit = editFor(job);
    int shard = job.shardIndexOf(task);
    edit.shardEditor(shard).assign(task, machine, agentEpoch, token);
    edit.assignedShards.add(shard);
  }

  /** Records a running attempt whose start was not recorded. */
  void adopt(JobRecord job, Attempt attempt) {
    JobEdit edit = editFor(job);
    int shard = job.shardIndexOf(attempt.taskIndex());
    edit.shardEditor(shard).adopt(attempt);
    edit.assignedShards.add(shard);
  }

  /** Records the completion of a task whose start was not recorded. */
  void complete(JobRecord job, int task) {
    JobEdit edit = editFor(job);
    edit.shardEditor(job.shardIndexOf(task)).complete(task);
    edit.isOverdue = true;
  }

  private JobEdit editFor(JobRecord job) {
    return edits.computeIfAbsent(job.job().id(), key -> new JobEdit(job));
  }

  /**
   * Returns the changes to commit, the most urgent first.
   *
   * @param dueCutoff releases learned up to this time are written even if nothing else changes
   *     their shard
   * @param overdueCutoff releases learned up to this time are written in the same write class as
   *     starts of tasks
   */
  List<ChangeSet> changeSets(
      Collection<JobRecord> activeJobs, Duration dueCutoff, Duration overdueCutoff) {
    Set<String> endingJobs = addReleases(dueCutoff, overdueCutoff);
    edits.forEach((id, edit) -> addShards(edit, endingJobs.contains(id)));
    addCleanup(activeJobs);
    List<ChangeSet> result = new ArrayList<>(regularPriority.ends);
    result.addAll(regularPriority.starts);
    result.addAll(lowPriority.ends);
    result.addAll(lowPriority.starts);
    result.addAll(deferrable);
    return result;
  }

  /**
   * Adds the releases that are due to the edits, and returns the ids of the jobs that end with
   * them.
   */
  private Set<String> addReleases(Duration dueCutoff, Duration overdueCutoff) {
    Set<String> endingJobs = new HashSet<>();
    for (String id : pendingReleases.jobIds()) {
      Collection<PendingReleases.Release> releases = pendingReleases.releasesOf(id).values();
      JobRecord job = releases.iterator().next().owned().jobRecord();
      boolean isEnding =
          job.outcome() == null
              && job.doneCount() + PendingReleases.countDone(releases) == job.job().taskCount();
      boolean isDue = isEnding;
      boolean isOverdue = false;
      for (PendingReleases.Release release : releases) {
        isDue |= release.learnedAt().compareTo(dueCutoff) <= 0;
        isOverdue |= release.learnedAt().compareTo(overdueCutoff) <= 0;
      }
      if (isDue) {
        JobEdit edit = editFor(job);
        edit.isOverdue = isOverdue;
        for (PendingReleases.Release release : releases) {
          edit.shardEditor(job.shardIndexOf(release.owned().taskId().index()));
        }
      }
      if (isEnding) {
        endingJobs.add(id);
      }
    }
    return endingJobs;
  }

  private void addShards(JobEdit edit, boolean isEnding) {
    JobRecord job = edit.job;
    UrgentChanges urgent = isLowPriority(job) ? lowPriority : regularPriority;
    Map<Integer, Shard> shards = edit.build();
    int conditions = shards.size() + 1 + RoundCommitter.RESERVED_CONDITIONS;
    if (isEnding && conditions <= RoundCommitter.MAX_CONDITIONS_PER_CHANGE * maxChanges) {
      urgent.ends.add(jobEndChange(job, shards.keySet()));
      return;
    }
    boolean isUrgent = isEnding || edit.isOverdue;
    shards.forEach(
        (index, shard) -> {
          boolean hasAssignments = edit.assignedShards.contains(index);
          ChangeSet change = shardChange(job, index, shard, hasAssignments, isUrgent);
          (hasAssignments ? urgent.starts : isEnding ? urgent.ends : deferrable).add(change);
        });
  }

  private static ChangeSet shardChange(
      JobRecord job, int index, Shard shard, boolean hasAssignments, boolean isUrgent) {
    String id = job.job().id();
    String key = Records.progressKey(id, index);
    Map<String, Long> conditions = new LinkedHashMap<>();
    conditions.put(key, job.shard(index).version());
    if (hasAssignments) {
      // No task of the job may be assigned after its cancellation is committed.
      conditions.put(Records.outcomeKey(id), 0L);
    }
    boolean isOver = job.outcome() != null && shard.ownedAttempts().isEmpty();
    return new ChangeSet(
        conditions,
        List.of(new StateStoreProtocol.Change(key, isOver ? null : Records.encodeShard(shard), 0)),
        Records.maxEncodedBytes(shard),
        hasAssignments || isUrgent ? writeClass(job) : RateLimiter.WriteClass.DEFERRABLE);
  }

  /**
   * Returns the change that records the job's outcome. The proved ends of the job's last tasks need
   * not be written, since nobody needs the progress of an ended job; one change therefore suffices.
   * The progress records are removed later, when the write rate allows it. When each single-task
   * job took four changes, low-priority jobs alone used up the 25 changes a second that the state
   * store accepted.
   */
  private static ChangeSet jobEndChange(JobRecord job, Set<Integer> shards) {
    String id = job.job().id();
    Map<String, Long> conditions = new LinkedHashMap<>();
    conditions.put(Records.outcomeKey(id), 0L);
    for (int index : shards) {
      conditions.put(Records.progressKey(id, index), job.shard(index).version());
    }
    return new ChangeSet(
        conditions,
        List.of(
            new StateStoreProtocol.Change(
                Records.outcomeKey(id), Records.encodeOutcome(Outcome.DONE), 0)),
        0,
        writeClass(job));
  }

  private static boolean isLowPriority(JobRecord job) {
    return job.job().priority() == Priority.LOW;
  }

  private static RateLimiter.WriteClass writeClass(JobRecord job) {
    return isLowPriority(job) ? RateLimiter.WriteClass.IDLE : RateLimiter.WriteClass.ROUND;
  }

  /**
   * Adds the outcomes of jobs whose last shards were committed separately, and the removals of the
   * records of ended jobs.
   */
  private void addCleanup(Collection<JobRecord> activeJobs) {
    for (JobRecord job : activeJobs) {
      if (edits.containsKey(job.job().id())) {
        continue;
      }
      if (job.outcome() != null) {
        addRecordRemovals(job);
      } else if (job.doneCount() == job.job().taskCount()) {
        deferrable.add(jobEndChange(job, Set.of()));
      }
    }
  }

  private void addRecordRemovals(JobRecord job) {
    for (int index : job.shards().keySet()) {
      JobRecord.VersionedShard item = job.shard(index);
      if (job.outcome() == Outcome.DONE || item.shard().ownedAttempts().isEmpty()) {
        String key = Records.progressKey(job.job().id(), index);
        deferrable.add(
            new ChangeSet(
                Map.of(key, item.version()),
                List.of(new StateStoreProtocol.Change(key, null, 0)),
                0,
                RateLimiter.WriteClass.DEFERRABLE));
      }
    }
  }

  /** The changed shards of one job. */
  private final class JobEdit {
    private final JobRecord job;
    private final Map<Integer, Shard.Editor> shards = new TreeMap<>();
    private final Set<Integer> assignedShards = new HashSet<>();
    private boolean isOverdue;

    JobEdit(JobRecord job) {
      this.job = job;
    }

    /**
     * Returns the editor of the shard's next version, which includes all pending releases of the
     * shard.
     */
    Shard.Editor shardEditor(int index) {
      Shard.Editor existing = shards.get(index);
      if (existing != null) {
        return existing;
      }
      Shard.Editor editor = job.shard(index).shard().edit();
      for (PendingReleases.Release release : pendingReleases.releasesOf(job.job().id()).values()) {
        int task = release.owned().taskId().index();
        if (job.shardIndexOf(task) == index) {
          if (release.isDone()) {
            editor.complete(task);
          } else {
            editor.release(task, release.countsAsFailure());
          }
        }
      }
      shards.put(index, editor);
      return editor;
    }

    Map<Integer, Shard> build() {
      Map<Integer, Shard> built = new TreeMap<>();
      shards.forEach((index, editor) -> built.put(index, editor.build()));
      return built;
    }
  }
}
