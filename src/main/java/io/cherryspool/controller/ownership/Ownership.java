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
 * Which attempts own tasks, by machine, as the committed records have it. It follows the records
 * change by change, so that a heartbeat costs the look-up of one machine however many tasks run.
 * Used on the event loop only.
 */
public final class Ownership implements ClusterRecords.RecordsListener, Lifecycle {

  /** One owned task, and the attempt that owns it. */
  public record OwnedTask(JobRecord jobRecord, TaskId taskId, Attempt attempt) {}

  /** Acts on changes of the records as they are applied. */
  public interface Listener {
    /** What the machine owns has changed, or is to be stopped. */
    void machineChanged(String machine);

    /** The job's outcome or progress has changed. */
    void jobChanged(JobRecord entry);

    /** The job has an outcome. */
    void jobEnded(JobRecord entry);

    /** The records no longer hold this attempt. */
    void attemptReleased(OwnedTask owned);

    /** The records were read anew, so that everything may have changed. */
    void recordsReloaded();
  }

  private final ClusterRecords records;
  private final Map<String, List<OwnedTask>> byMachine = new HashMap<>();
  private Listener listener;

  /**
   * Creates the ownership.
   *
   * @param records are followed from {@link #start} to {@link #stop}
   */
  public Ownership(ClusterRecords records) {
    this.records = records;
  }

  /** Sets the one listener, before the start. */
  public void setListener(Listener only) {
    listener = only;
  }

  @Override
  public void start() {
    records.addListener(this);
    onReloaded();
  }

  @Override
  public void stop() {
    records.removeListener(this);
  }

  /** What the machine owns, as a live view; empty if nothing. */
  public List<OwnedTask> ownedTasksOn(String machine) {
    return byMachine.getOrDefault(machine, List.of());
  }

  /** The names of the machines that own anything, as a live view. */
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
    for (JobRecord entry : records.activeJobs()) {
      if (entry.outcome() == Outcome.DONE) {
        continue;
      }
      for (JobRecord.VersionedShard item : entry.shards().values()) {
        for (Attempt attempt : item.shard().ownedAttempts().values()) {
          add(entry, attempt);
        }
      }
    }
    listener.recordsReloaded();
  }

  private void add(JobRecord entry, Attempt attempt) {
    byMachine
        .computeIfAbsent(attempt.machine(), key -> new ArrayList<>(4))
        .add(new OwnedTask(entry, new TaskId(entry.job().id(), attempt.taskIndex()), attempt));
  }

  private void remove(JobRecord entry, Attempt attempt) {
    List<OwnedTask> list = ownedTasksOn(attempt.machine());
    for (int i = 0; i < list.size(); i++) {
      OwnedTask owned = list.get(i);
      if (owned.jobRecord() == entry && owned.attempt().equals(attempt)) {
        list.remove(i);
        if (list.isEmpty()) {
          byMachine.remove(attempt.machine());
        }
        listener.machineChanged(attempt.machine());
        listener.attemptReleased(owned);
        return;
      }
    }
  }
}
