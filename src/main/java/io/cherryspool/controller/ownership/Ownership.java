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
 * An index of the attempts that own tasks, by machine, as in the committed records. It is updated
 * with each change of the records, so that handling a heartbeat needs the look-up of one machine
 * only, however many tasks run. Used on the event loop only.
 */
public final class Ownership implements ClusterRecords.RecordsListener, Lifecycle {

  /** An owned task, the record of its job, and the attempt that owns the task. */
  public record OwnedTask(JobRecord jobRecord, TaskId taskId, Attempt attempt) {}

  /** Receives changes of the records as they are applied. */
  public interface Listener {
    /**
     * Called when the machine has gained or lost an owned task, or when one of its tasks must stop
     * because its job was cancelled.
     */
    void onMachineChanged(String machine);

    /** Called when the job's outcome or progress has changed. */
    void onJobChanged(JobRecord jobRecord);

    /** Called when the job has ended and its outcome is recorded. */
    void onJobEnded(JobRecord jobRecord);

    /** Called when the attempt no longer owns its task by the records. */
    void onAttemptReleased(OwnedTask owned);

    /** Called when all records were read again, so that anything may have changed. */
    void onRecordsReloaded();
  }

  private final ClusterRecords records;
  private final Map<String, List<OwnedTask>> ownedTasksByMachine = new HashMap<>();
  private Listener listener;

  /**
   * Creates an empty index.
   *
   * @param records the records whose changes are applied from {@link #start} to {@link #stop}
   */
  public Ownership(ClusterRecords records) {
    this.records = records;
  }

  /** Sets the only listener. This must be called before {@link #start}. */
  public void setListener(Listener newListener) {
    listener = newListener;
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

  /** Returns a live view of the tasks that the machine owns, empty if there are none. */
  public List<OwnedTask> ownedTasksOn(String machine) {
    return ownedTasksByMachine.getOrDefault(machine, List.of());
  }

  /** Returns a live view of the names of the machines that own tasks. */
  public Set<String> owningMachines() {
    return Collections.unmodifiableSet(ownedTasksByMachine.keySet());
  }

  @Override
  public void onProgress(JobRecord jobRecord, Shard before, Shard after) {
    for (Attempt attempt : before.ownedAttempts().values()) {
      if (!attempt.equals(after.ownedAttempt(attempt.taskIndex()))) {
        remove(jobRecord, attempt);
      }
    }
    for (Attempt attempt : after.ownedAttempts().values()) {
      if (!attempt.equals(before.ownedAttempt(attempt.taskIndex()))) {
        add(jobRecord, attempt);
        listener.onMachineChanged(attempt.machine());
      }
    }
    listener.onJobChanged(jobRecord);
  }

  @Override
  public void onJobChanged(JobRecord jobRecord) {
    listener.onJobChanged(jobRecord);
    if (jobRecord.outcome() != null) {
      listener.onJobEnded(jobRecord);
    }
    if (jobRecord.outcome() == Outcome.DONE) {
      // A job is recorded as done only after all its attempts have ended.
      for (JobRecord.VersionedShard item : jobRecord.shards().values()) {
        item.shard().ownedAttempts().values().forEach(attempt -> remove(jobRecord, attempt));
      }
    } else if (jobRecord.outcome() == Outcome.CANCELLED) {
      for (JobRecord.VersionedShard item : jobRecord.shards().values()) {
        for (Attempt attempt : item.shard().ownedAttempts().values()) {
          listener.onMachineChanged(attempt.machine());
        }
      }
    }
  }

  @Override
  public void onReloaded() {
    ownedTasksByMachine.clear();
    for (JobRecord jobRecord : records.activeJobs()) {
      if (jobRecord.outcome() == Outcome.DONE) {
        continue;
      }
      for (JobRecord.VersionedShard item : jobRecord.shards().values()) {
        for (Attempt attempt : item.shard().ownedAttempts().values()) {
          add(jobRecord, attempt);
        }
      }
    }
    listener.onRecordsReloaded();
  }

  private void add(JobRecord jobRecord, Attempt attempt) {
    ownedTasksByMachine
        .computeIfAbsent(attempt.machine(), key -> new ArrayList<>(4))
        .add(
            new OwnedTask(
                jobRecord, new TaskId(jobRecord.job().id(), attempt.taskIndex()), attempt));
  }

  private void remove(JobRecord jobRecord, Attempt attempt) {
    List<OwnedTask> ownedTasks = ownedTasksOn(attempt.machine());
    for (int i = 0; i < ownedTasks.size(); i++) {
      OwnedTask owned = ownedTasks.get(i);
      if (owned.jobRecord() == jobRecord && owned.attempt().equals(attempt)) {
        ownedTasks.remove(i);
        if (ownedTasks.isEmpty()) {
          ownedTasksByMachine.remove(attempt.machine());
        }
        listener.onMachineChanged(attempt.machine());
        listener.onAttemptReleased(owned);
        return;
      }
    }
  }
}
