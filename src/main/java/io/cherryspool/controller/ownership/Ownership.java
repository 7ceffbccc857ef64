package io.cherryspool.controller.ownership;

import io.cherryspool.lifecycle.Lifecycle;
import io.cherryspool.model.Attempt;
import io.cherryspool.model.Outcome;
import io.cherryspool.model.Shard;
import io.cherryspool.model.TaskId;
import io.cherryspool.store.ClusterRecords;
import io.cherryspool.store.JobRecord;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Who owns what, by machine, as the committed records say. It follows the records change by change,
 * so that a report costs the look-up of one machine however many tasks run.
 */
public final class Ownership implements ClusterRecords.RecordsListener, Lifecycle {

  /** One owned task. */
  public record OwnedTask(JobRecord entry, TaskId id, Attempt attempt) {}

  /** Who acts on the changes. */
  public interface Listener {
    void machineChanged(String machine);

    void jobChanged(JobRecord entry);

    /** The job has ended. */
    void jobEnded(JobRecord entry);

    /** The records no longer hold this attempt. */
    void released(OwnedTask owned);

    /** Everything may have changed. */
    void reloaded();
  }

  private final ClusterRecords replica;
  private final Map<String, List<OwnedTask>> byMachine = new HashMap<>();
  private Listener listener;

  public Ownership(ClusterRecords replica) {
    this.replica = replica;
  }

  public void setListener(Listener to) {
    listener = to;
  }

  @Override
  public void start() {
    replica.addListener(this);
    onReloaded();
  }

  @Override
  public void stop() {
    replica.removeListener(this);
  }

  public List<OwnedTask> attemptsOn(String machine) {
    return byMachine.getOrDefault(machine, List.of());
  }

  /** The machines that own anything. */
  public Set<String> owningMachines() {
    return Collections.unmodifiableSet(byMachine.keySet());
  }

  @Override
  public void onProgress(JobRecord entry, Shard before, Shard after) {
    for (Attempt attempt : before.ownedAttempts().values()) {
      if (!attempt.equals(after.ownedAttempt(attempt.taskIndex()))) {
        remove(entry, attempt);
      }
    }
    for (Attempt attempt : after.ownedAttempts().values()) {
      if (!attempt.equals(before.ownedAttempt(attempt.taskIndex()))) {
        add(entry, attempt);
        listener.machineChanged(attempt.machine());
      }
    }
    listener.jobChanged(entry);
  }

  @Override
  public void onJobChanged(JobRecord entry) {
    listener.jobChanged(entry);
    if (entry.outcome() != null) {
      listener.jobEnded(entry);
    }
    if (entry.outcome() == Outcome.DONE) {
      // All its attempts have ended, which is what its outcome rests on.
      for (JobRecord.VersionedShard item : entry.shards().values()) {
        item.shard().ownedAttempts().values().forEach(attempt -> remove(entry, attempt));
      }
    } else if (entry.outcome() == Outcome.CANCELLED) {
      for (JobRecord.VersionedShard item : entry.shards().values()) {
        for (Attempt attempt : item.shard().ownedAttempts().values()) {
          listener.machineChanged(attempt.machine());
        }
      }
    }
  }

  @Override
  public void onReloaded() {
    byMachine.clear();
    for (JobRecord entry : replica.activeJobs()) {
      if (entry.outcome() == Outcome.DONE) {
        continue;
      }
      for (JobRecord.VersionedShard item : entry.shards().values()) {
        for (Attempt attempt : item.shard().ownedAttempts().values()) {
          add(entry, attempt);
        }
      }
    }
    listener.reloaded();
  }

  private void add(JobRecord entry, Attempt attempt) {
    byMachine
        .computeIfAbsent(attempt.machine(), key -> new ArrayList<>(4))
        .add(new OwnedTask(entry, new TaskId(entry.job().id(), attempt.taskIndex()), attempt));
  }

  private void remove(JobRecord entry, Attempt attempt) {
    List<OwnedTask> list = attemptsOn(attempt.machine());
    for (int i = 0; i < list.size(); i++) {
      OwnedTask owned = list.get(i);
      if (owned.entry() == entry && owned.attempt().equals(attempt)) {
        list.remove(i);
        if (list.isEmpty()) {
          byMachine.remove(attempt.machine());
        }
        listener.machineChanged(attempt.machine());
        listener.released(owned);
        return;
      }
    }
  }
}
