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
 * Turns a round's assignments and the pending releases into change sets, the pressing ones first:
 * ends of jobs, then starts, each taking the releases of its shard along, then releases that have
 * waited long enough, then records of ended jobs. Low-priority work comes after all other, or its
 * ends would go before the starts of those it waits for.
 *
 * <p>Made for one round; {@link #changeSets} is called once, at its end.
 */
final class RoundChangeSetBuilder {
  private final PendingReleases pendingReleases;
  private final int maxChanges;
  private final Map<String, JobEdit> edits = new LinkedHashMap<>();

  /** Ends of jobs and starts, of work other than low-priority work. */
  private final UrgentChanges regularPriority = new UrgentChanges();

  private final UrgentChanges lowPriority = new UrgentChanges();

  /** What can wait for a later round. */
  private final List<ChangeSet> deferrable = new ArrayList<>();

  /**
   * Creates a transaction without changes.
   *
   * @param maxChanges the most changes in a transaction of the state store
   */
  RoundChangeSetBuilder(PendingReleases pendingReleases, int maxChanges) {
    this.pendingReleases = pendingReleases;
    this.maxChanges = maxChanges;
  }

  /** Change sets of like importance, ends of jobs before starts. */
  private static final class UrgentChanges {
    private final List<ChangeSet> ends = new ArrayList<>();
    private final List<ChangeSet> starts = new ArrayList<>();
  }

  /** Gives the free task to the machine, as its next attempt. */
  void assign(JobRecord job, int task, String machine, long agentEpoch, long token) {
    JobEdit edit = edit(job);
    int shard = job.shardIndexOf(task);
    edit.shardEditor(shard).assign(task, machine, agentEpoch, token);
    edit.assignedShards.add(shard);
  }

  /** Records that the attempt runs, although no record says that it was started. */
  void adopt(JobRecord job, Attempt attempt) {
    JobEdit edit = edit(job);
    int shard = job.shardIndexOf(attempt.taskIndex());
    edit.shardEditor(shard).adopt(attempt);
    edit.assignedShards.add(shard);
  }

  /** Records that the task has completed, although no record says that it was started. */
  void complete(JobRecord job, int task) {
    JobEdit edit = edit(job);
    edit.shardEditor(job.shardIndexOf(task)).complete(task);
    edit.isOverdue = true;
  }

  private JobEdit edit(JobRecord job) {
    return edits.computeIfAbsent(job.job().id(), key -> new JobEdit(job));
  }

  /**
   * The changes to commit, the pressing ones first.
   *
   * @param due releases learnt until then are written even if nothing else needs their shard
   * @param overdue those learnt until then press as much as anything
   */
  List<ChangeSet> changeSets(Collection<JobRecord> activeJobs, Duration due, Duration overdue) {
    Set<String> endingJobs = addReleases(due, overdue);
    edits.forEach((id, edit) -> addShards(edit, endingJobs.contains(id)));
    addCleanup(activeJobs);
    List<ChangeSet> all = new ArrayList<>(regularPriority.ends);
    all.addAll(regularPriority.starts);
    all.addAll(lowPriority.ends);
    all.addAll(lowPriority.starts);
    all.addAll(deferrable);
    return all;
  }

  /** Adds the releases that are due to the edits; returns the ids of the jobs that end. */
  private Set<String> addReleases(Duration due, Duration overdue) {
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
        isDue |= release.learnedAt().compareTo(due) <= 0;
        isOverdue |= release.learnedAt().compareTo(overdue) <= 0;
      }
      if (isDue) {
        JobEdit edit = edit(job);
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
      // After a cancel is committed nothing of the job may be assigned.
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
   * The job's outcome, which rests on the ends that are proved and not written yet. They need not
   * be: what is done of a job that has ended is of no interest, so that one change ends it. Its
   * progress records go when there is room. With four changes for each single task, of 25 a second,
   * low-priority work alone took them all.
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

  /** Ends jobs whose last shards were committed apart, and removes records of ended jobs. */
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

    /** The next version of a shard; what is proved of it goes along with any other change. */
    Shard.Editor shardEditor(int index) {
      Shard.Editor known = shards.get(index);
      if (known != null) {
        return known;
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
