package io.cherryspool.store;

import com.fasterxml.jackson.databind.JsonNode;
import io.cherryspool.model.Shard;
import io.cherryspool.store.ClusterRecords.RecordsListener;
import io.cherryspool.wire.MalformedMessageException;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The jobs as {@link JobRecord} objects, and the marks that jobs have after a data loss: rebuilt,
 * unknown, abandoned or held.
 */
final class JobIndex {
  private static final Logger LOG = LoggerFactory.getLogger(JobIndex.class);

  private final KeySpace keySpace;
  private final List<RecordsListener> listeners = new ArrayList<>();
  private final Map<String, JobRecord> jobs = new HashMap<>();
  private final Map<String, JobRecord> active = new HashMap<>();

  /**
   * The ids of jobs that a rebuild restored. A node that had acknowledged such a job to its user
   * may have written the job's record again; that record is ignored.
   */
  private final Set<String> rebuiltIds = new HashSet<>();

  private final Set<String> unknownIds = new HashSet<>();
  private final Set<String> abandonedIds = new HashSet<>();
  private final Set<String> heldIds = new HashSet<>();

  JobIndex(KeySpace keySpace) {
    this.keySpace = keySpace;
  }

  void addListener(RecordsListener listener) {
    listeners.add(listener);
  }

  void removeListener(RecordsListener listener) {
    listeners.remove(listener);
  }

  /** Implements {@link ClusterRecords#job}. */
  JobRecord job(String id) {
    return jobs.get(id);
  }

  /** Implements {@link ClusterRecords#jobs}. */
  Collection<JobRecord> all() {
    return Collections.unmodifiableCollection(jobs.values());
  }

  int count() {
    return jobs.size();
  }

  /** Implements {@link ClusterRecords#activeJobs}. */
  Collection<JobRecord> active() {
    return Collections.unmodifiableCollection(active.values());
  }

  /** Implements {@link ClusterRecords#unknownJobs}. */
  Set<String> unknownIds() {
    return Collections.unmodifiableSet(unknownIds);
  }

  /** Implements {@link ClusterRecords#isAbandonedJob}. */
  boolean isAbandoned(String id) {
    return abandonedIds.contains(id);
  }

  /** Implements {@link ClusterRecords#heldJobs}. */
  Set<String> heldIds() {
    return Collections.unmodifiableSet(heldIds);
  }

  /** Implements {@link ClusterRecords#isRebuiltJob}. */
  boolean isRebuilt(String id) {
    return rebuiltIds.contains(id);
  }

  /** Whether any job is unknown, abandoned or held. */
  boolean hasUnresolvedJobs() {
    return !unknownIds.isEmpty() || !abandonedIds.isEmpty() || !heldIds.isEmpty();
  }

  /**
   * Encodes the record of a job or of an outcome again. Returns null if there is no record with
   * this key.
   */
  JsonNode immutableRecord(String key) {
    if (key.startsWith(Records.JOBS)) {
      JobRecord job = jobs.get(key.substring(Records.JOBS.length()));
      return job == null ? null : Records.encodeJob(job.job(), job.tasksPerShard());
    }
    if (key.startsWith(Records.OUTCOMES)) {
      JobRecord job = jobs.get(key.substring(Records.OUTCOMES.length()));
      return job == null || job.outcome() == null ? null : Records.encodeOutcome(job.outcome());
    }
    return null;
  }

  /** Drops everything except the listeners, and adds the jobs of a rebuild. */
  void replaceAll(Collection<RecordsSnapshot.JobSnapshot> rebuiltJobs) {
    jobs.clear();
    active.clear();
    rebuiltIds.clear();
    unknownIds.clear();
    abandonedIds.clear();
    heldIds.clear();
    rebuiltJobs.forEach(this::addRebuilt);
  }

  private void addRebuilt(RecordsSnapshot.JobSnapshot snapshot) {
    String id = snapshot.job().id();
    JobRecord job = JobRecord.fromSnapshot(snapshot);
    jobs.put(id, job);
    updateActive(job);
    rebuiltIds.add(id);
    snapshot
        .shards()
        .keySet()
        .forEach(shard -> keySpace.addBundled(Records.progressKey(id, shard)));
  }

  void notifyReloaded() {
    List.copyOf(listeners).forEach(RecordsListener::onReloaded);
  }

  /**
   * Applies the new value of a record. A null value removes the record.
   *
   * @return whether the key is that of a record about a job
   */
  boolean set(String key, JsonNode value, long version) {
    if (key.startsWith(Records.PROGRESS)) {
      setProgress(key.substring(Records.PROGRESS.length()), value, version);
    } else if (key.startsWith(Records.JOBS)) {
      setJob(key.substring(Records.JOBS.length()), value);
    } else if (key.startsWith(Records.OUTCOMES)) {
      setOutcome(key.substring(Records.OUTCOMES.length()), value);
    } else if (key.startsWith(Records.UNKNOWN)) {
      setUnknown(key.substring(Records.UNKNOWN.length()), value);
    } else if (key.startsWith(Records.HELD)) {
      setMember(heldIds, key.substring(Records.HELD.length()), value != null);
    } else {
      return false;
    }
    return true;
  }

  private void setUnknown(String id, JsonNode value) {
    boolean isMarkedAbandoned = value != null && Records.isAbandoned(value);
    setMember(abandonedIds, id, isMarkedAbandoned);
    setMember(unknownIds, id, value != null && !isMarkedAbandoned);
  }

  private void setMember(Set<String> ids, String id, boolean isMember) {
    if (isMember) {
      ids.add(id);
    } else {
      ids.remove(id);
    }
    JobRecord job = jobs.get(id);
    if (job != null) {
      notifyChanged(job);
    }
  }

  private void setJob(String id, JsonNode value) {
    if (value == null || rebuiltIds.contains(id)) {
      return;
    }
    try {
      JobRecord job = new JobRecord(Records.decodeJob(value), Records.decodeTasksPerShard(value));
      jobs.put(id, job);
      active.put(id, job);
      notifyChanged(job);
    } catch (MalformedMessageException e) {
      LOG.error("ignoring unreadable job record, job={}: {}", id, e.getMessage());
    }
  }

  private void setOutcome(String id, JsonNode value) {
    JobRecord job = jobs.get(id);
    if (job != null && value != null) {
      job.setOutcome(Records.decodeOutcome(value));
      updateActive(job);
      notifyChanged(job);
    }
  }

  /**
   * Applies the new value of a progress record. A null value removes the record.
   *
   * @param idAndShard the key without its prefix: the job's id, a slash and the index of the shard
   */
  private void setProgress(String idAndShard, JsonNode value, long version) {
    int slash = idAndShard.lastIndexOf('/');
    JobRecord job = slash < 0 ? null : jobs.get(idAndShard.substring(0, slash));
    if (job == null) {
      return;
    }
    int shard = Integer.parseInt(idAndShard.substring(slash + 1));
    // A record that is also in a bundle is removed by writing an empty value.
    boolean isRemoved = value == null || value.isEmpty();
    JobRecord.VersionedShard record =
        isRemoved ? null : new JobRecord.VersionedShard(Records.decodeShard(value), version);
    Shard before = job.setShard(shard, record);
    updateActive(job);
    Shard after = record == null ? Shard.EMPTY : record.shard();
    listeners.forEach(listener -> listener.onProgress(job, before, after));
  }

  private void notifyChanged(JobRecord job) {
    listeners.forEach(listener -> listener.onJobChanged(job));
  }

  private void updateActive(JobRecord job) {
    if (job.outcome() != null && job.shards().isEmpty()) {
      active.remove(job.job().id());
    } else {
      active.put(job.job().id(), job);
    }
  }
}
