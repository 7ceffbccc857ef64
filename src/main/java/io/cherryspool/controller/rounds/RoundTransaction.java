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
 * Turns a round's assignments and the pending releases into changes of records, the pressing ones
 * first: ends of jobs, then starts, each taking the releases of its shard along, then releases that
 * have waited long enough, then records of ended jobs.
 */
final class RoundTransaction {
  private final PendingReleases pendingReleases;
  private final int maxChanges;
  private final Map<String, Edit> edits = new LinkedHashMap<>();

  /** The changed shards of one job. */
  private final class Edit {
    private final JobRecord entry;
    private final Map<Integer, Shard.Editor> shards = new TreeMap<>();
    private final Set<Integer> assigned = new HashSet<>();
    private boolean late;

    Edit(JobRecord entry) {
      this.entry = entry;
    }

    /** The next version of a shard; what is proved of it goes along with any other change. */
    Shard.Editor shard(int index) {
      Shard.Editor known = shards.get(index);
      if (known != null) {
        return known;
      }
      Shard.Editor editor = entry.shard(index).shard().edit();
      for (PendingReleases.Release release : pendingReleases.ofJob(entry.job().id()).values()) {
        int task = release.owned().id().index();
        if (entry.shardIndexOf(task) == index) {
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
  }

  RoundTransaction(PendingReleases pendingReleases, int maxChanges) {
    this.pendingReleases = pendingReleases;
    this.maxChanges = maxChanges;
  }

  void assign(JobRecord entry, int task, String machine, long session, long token) {
    Edit edit = edits.computeIfAbsent(entry.job().id(), key -> new Edit(entry));
    int shard = entry.shardIndexOf(task);
    edit.shard(shard).assign(task, machine, session, token);
    edit.assigned.add(shard);
  }

  /** The task runs there, although no record says that it was started. */
  void adopt(JobRecord entry, Attempt attempt) {
    Edit edit = edits.computeIfAbsent(entry.job().id(), key -> new Edit(entry));
    int shard = entry.shardIndexOf(attempt.taskIndex());
    edit.shard(shard).adopt(attempt);
    edit.assigned.add(shard);
  }

  /** The task has completed, although no record says that it was started. */
  void complete(JobRecord entry, int task) {
    Edit edit = edits.computeIfAbsent(entry.job().id(), key -> new Edit(entry));
    edit.shard(entry.shardIndexOf(task)).complete(task);
    edit.late = true;
  }

  /**
   * The changes to commit, the pressing ones first.
   *
   * @param due releases learnt until then are written even if nothing else needs their shard
   * @param overdue those learnt until then press as much as anything
   */
  List<RoundCommitter.ChangeSet> changeSets(
      Collection<JobRecord> active, Duration due, Duration overdue) {
    // Idle work comes after all other, or its ends would go before the starts of those it waits
    // for.
    Ranks usual = new Ranks();
    Ranks idle = new Ranks();
    List<RoundCommitter.ChangeSet> rest = new ArrayList<>();
    Set<String> ending = new HashSet<>();
    for (String id : pendingReleases.jobIds()) {
      Collection<PendingReleases.Release> known = pendingReleases.ofJob(id).values();
      JobRecord entry = known.iterator().next().owned().entry();
      boolean whole =
          entry.doneCount() + PendingReleases.countDone(known) == entry.job().taskCount();
      boolean write = entry.outcome() == null && whole;
      boolean late = false;
      for (PendingReleases.Release release : known) {
        write |= release.learnedAt().compareTo(due) <= 0;
        late |= release.learnedAt().compareTo(overdue) <= 0;
      }
      if (write) {
        Edit edit = edits.computeIfAbsent(id, key -> new Edit(entry));
        edit.late = late;
        known.forEach(release -> edit.shard(entry.shardIndexOf(release.owned().id().index())));
      }
      if (entry.outcome() == null && whole) {
        ending.add(id);
      }
    }
    edits.forEach(
        (id, edit) -> add(edit, ending.contains(id), idle(edit.entry) ? idle : usual, rest));
    clean(active, rest);
    List<RoundCommitter.ChangeSet> all = new ArrayList<>(usual.ends);
    all.addAll(usual.starts);
    all.addAll(idle.ends);
    all.addAll(idle.starts);
    all.addAll(rest);
    return all;
  }

  /** Changes of like importance, ends of jobs before starts. */
  private static final class Ranks {
    private final List<RoundCommitter.ChangeSet> ends = new ArrayList<>();
    private final List<RoundCommitter.ChangeSet> starts = new ArrayList<>();
  }

  private static boolean idle(JobRecord entry) {
    return entry.job().priority() == Priority.LOW;
  }

  private void add(Edit edit, boolean ending, Ranks ranks, List<RoundCommitter.ChangeSet> rest) {
    JobRecord entry = edit.entry;
    String id = entry.job().id();
    Map<Integer, Shard> built = new TreeMap<>();
    edit.shards.forEach((index, editor) -> built.put(index, editor.build()));
    int needed = built.size() + 1 + RoundCommitter.RESERVED_CONDITIONS;
    if (ending && needed <= RoundCommitter.MAX_CONDITIONS_PER_CHANGE * maxChanges) {
      ranks.ends.add(ending(entry, built.keySet()));
      return;
    }
    built.forEach(
        (index, shard) -> {
          Map<String, Long> conditions = new LinkedHashMap<>();
          conditions.put(Records.progressKey(id, index), entry.shard(index).version());
          boolean assigns = edit.assigned.contains(index);
          if (assigns) {
            // After a cancel is committed nothing of the job may be assigned.
            conditions.put(Records.outcomeKey(id), 0L);
          }
          boolean over = entry.outcome() != null && shard.ownedAttempts().isEmpty();
          RoundCommitter.ChangeSet unit =
              new RoundCommitter.ChangeSet(
                  conditions,
                  List.of(
                      new StateStoreProtocol.Change(
                          Records.progressKey(id, index),
                          over ? null : Records.encodeShard(shard),
                          0)),
                  Records.maxEncodedBytes(shard),
                  assigns || ending || edit.late ? use(entry) : RateLimiter.WriteClass.DEFERRABLE);
          (assigns ? ranks.starts : ending ? ranks.ends : rest).add(unit);
        });
  }

  /**
   * The job's outcome, which rests on the ends that are proved and not written yet. They need not
   * be: a job that is done has no tasks left to tell of, so that one change ends it. Its progress
   * records go when there is room. With four changes for each single task, of 25 a second, idle
   * work alone took them all.
   */
  private RoundCommitter.ChangeSet ending(JobRecord entry, Set<Integer> shards) {
    String id = entry.job().id();
    Map<String, Long> conditions = new LinkedHashMap<>();
    conditions.put(Records.outcomeKey(id), 0L);
    for (int index : shards) {
      conditions.put(Records.progressKey(id, index), entry.shard(index).version());
    }
    return new RoundCommitter.ChangeSet(
        conditions,
        List.of(
            new StateStoreProtocol.Change(
                Records.outcomeKey(id), Records.encodeOutcome(Outcome.DONE), 0)),
        0,
        use(entry));
  }

  private static RateLimiter.WriteClass use(JobRecord entry) {
    return idle(entry) ? RateLimiter.WriteClass.IDLE : RateLimiter.WriteClass.ROUND;
  }

  /** Ends jobs whose last shards were committed apart, and removes records of ended jobs. */
  private void clean(Collection<JobRecord> active, List<RoundCommitter.ChangeSet> units) {
    for (JobRecord entry : active) {
      String id = entry.job().id();
      if (edits.containsKey(id)) {
        continue;
      }
      if (entry.outcome() == null) {
        if (entry.doneCount() == entry.job().taskCount()) {
          units.add(ending(entry, Set.of()));
        }
        continue;
      }
      for (int index : entry.shards().keySet()) {
        JobRecord.VersionedShard item = entry.shard(index);
        if (entry.outcome() == Outcome.DONE || item.shard().ownedAttempts().isEmpty()) {
          units.add(
              new RoundCommitter.ChangeSet(
                  Map.of(Records.progressKey(id, index), item.version()),
                  List.of(new StateStoreProtocol.Change(Records.progressKey(id, index), null, 0)),
                  0,
                  RateLimiter.WriteClass.DEFERRABLE));
        }
      }
    }
  }
}
