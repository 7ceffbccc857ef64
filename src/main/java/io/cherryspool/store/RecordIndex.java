package io.cherryspool.store;

import com.fasterxml.jackson.databind.JsonNode;
import io.cherryspool.model.MachineType;
import io.cherryspool.model.Shard;
import io.cherryspool.wire.CloudProtocol;
import io.cherryspool.wire.Json;
import io.cherryspool.wire.MalformedMessageException;
import io.cherryspool.wire.StateStoreProtocol;
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
 * The records as objects: jobs with their progress, the term, the leader, the catalog. It is built
 * from the values of keys, one at a time; where the values come from is its owner's matter.
 */
final class RecordIndex {
  private static final Logger LOG = LoggerFactory.getLogger(RecordIndex.class);

  private final KeySpace space;
  private final List<ClusterRecords.RecordsListener> watchers = new ArrayList<>();
  private final Map<String, JobRecord> jobs = new HashMap<>();
  private final Map<String, JobRecord> active = new HashMap<>();
  private long term;
  private long termVersion;
  private Records.Leader leader;
  private long leaderVersion;
  private Records.Successor successor;
  private List<MachineType> catalog;
  private long catalogVersion;
  private JsonNode catalogRecord;

  /** Jobs of a rebuilt picture; a node that told of one may have written it once more. */
  private final Set<String> bundled = new HashSet<>();

  private final Set<String> unknown = new HashSet<>();
  private final Set<String> abandoned = new HashSet<>();
  private final Set<String> held = new HashSet<>();
  private boolean settled;

  RecordIndex(KeySpace space) {
    this.space = space;
  }

  void watch(ClusterRecords.RecordsListener watcher) {
    watchers.add(watcher);
  }

  void unwatch(ClusterRecords.RecordsListener watcher) {
    watchers.remove(watcher);
  }

  /** The jobs with anything left to do: not ended, or with progress records still kept. */
  Collection<JobRecord> active() {
    return Collections.unmodifiableCollection(active.values());
  }

  /** All jobs ever accepted. */
  Collection<JobRecord> jobs() {
    return Collections.unmodifiableCollection(jobs.values());
  }

  int jobCount() {
    return jobs.size();
  }

  /** The job, or null. */
  JobRecord job(String id) {
    return jobs.get(id);
  }

  long term() {
    return term;
  }

  long termVersion() {
    return termVersion;
  }

  /** Who leads, or null. */
  Records.Leader leader() {
    return leader;
  }

  /** The version of the leader's record, 0 if there is none. */
  long leaderVersion() {
    return leaderVersion;
  }

  /** Whom the last leader of this term made way for; null if it did not. */
  Records.Successor successor() {
    return successor != null && successor.term() == term ? successor : null;
  }

  /** The machine types as some leader last wrote them, or null. */
  List<MachineType> catalog() {
    return catalog;
  }

  long catalogVersion() {
    return catalogVersion;
  }

  /** The catalog's record as it was read, or null. */
  JsonNode catalogRecord() {
    return catalogRecord;
  }

  /** Whether a leader has taken in what ran when the state was lost. */
  boolean settled() {
    return settled;
  }

  /** The value of a job's or an end's record as it was written; null for other keys. */
  JsonNode permanentRecord(String key) {
    if (key.startsWith(Records.JOBS)) {
      JobRecord entry = jobs.get(key.substring(Records.JOBS.length()));
      return entry == null ? null : Records.encodeJob(entry.job(), entry.tasksPerShard());
    }
    if (key.startsWith(Records.OUTCOMES)) {
      JobRecord entry = jobs.get(key.substring(Records.OUTCOMES.length()));
      return entry == null || entry.outcome() == null
          ? null
          : Records.encodeOutcome(entry.outcome());
    }
    return null;
  }

  /** Unknown jobs that an operator has given up. */
  Set<String> abandoned() {
    return Collections.unmodifiableSet(abandoned);
  }

  /** The jobs that wait for an operator. */
  Set<String> held() {
    return Collections.unmodifiableSet(held);
  }

  /** Whether the job is from a rebuilt picture, not submitted since. */
  boolean rebuilt(String id) {
    return bundled.contains(id);
  }

  /** The jobs that workers report and that nobody has described since the state was lost. */
  Set<String> unknown() {
    return Collections.unmodifiableSet(unknown);
  }

  /**
   * Replaces everything by a rebuilt picture's jobs and these keys' values; jobs are read before
   * what refers to them.
   */
  void replaceAll(
      Collection<RecordsSnapshot.JobSnapshot> rebuilt,
      Collection<StateStoreProtocol.Event> events) {
    jobs.clear();
    active.clear();
    term = 0;
    termVersion = 0;
    leader = null;
    leaderVersion = 0;
    successor = null;
    catalog = null;
    catalogVersion = 0;
    catalogRecord = null;
    bundled.clear();
    unknown.clear();
    abandoned.clear();
    held.clear();
    settled = false;
    rebuilt.forEach(this::addRebuilt);
    Set<StateStoreProtocol.Event> later = new HashSet<>();
    for (StateStoreProtocol.Event event : events) {
      String key = event.key();
      if (key.startsWith(Records.OUTCOMES) || key.startsWith(Records.PROGRESS)) {
        later.add(event);
      } else {
        set(event);
      }
    }
    later.forEach(this::set);
    List.copyOf(watchers).forEach(ClusterRecords.RecordsListener::onReloaded);
  }

  private void addRebuilt(RecordsSnapshot.JobSnapshot known) {
    String id = known.job().id();
    JobRecord entry = JobRecord.fromSnapshot(known);
    jobs.put(id, entry);
    settle(entry);
    bundled.add(id);
    known.shards().keySet().forEach(shard -> space.addBundled(Records.progressKey(id, shard)));
  }

  /** Takes in a key's new value, or with a null value its removal. */
  void set(StateStoreProtocol.Event event) {
    String key = event.key();
    JsonNode value = event.value();
    if (key.startsWith(Records.PROGRESS)) {
      setProgress(key.substring(Records.PROGRESS.length()), value, event.version());
    } else if (key.startsWith(Records.JOBS)) {
      setJob(key.substring(Records.JOBS.length()), value);
    } else if (key.startsWith(Records.OUTCOMES)) {
      setOutcome(key.substring(Records.OUTCOMES.length()), value);
    } else if (key.equals(Records.TERM)) {
      term = value == null ? 0 : Records.decodeTerm(value);
      termVersion = value == null ? 0 : event.version();
    } else if (key.equals(Records.LEADER)) {
      leader = value == null ? null : Records.decodeLeader(value);
      leaderVersion = value == null ? 0 : event.version();
    } else if (key.equals(Records.SUCCESSOR)) {
      successor = value == null ? null : Records.decodeSuccessor(value);
    } else if (key.equals(Records.CATALOG) && value != null) {
      setCatalog(value, event.version());
    } else if (key.equals(Records.RECONCILED)) {
      settled = value != null;
    } else if (key.startsWith(Records.UNKNOWN)) {
      setUnknown(key.substring(Records.UNKNOWN.length()), value);
    } else if (key.startsWith(Records.HELD)) {
      mark(held, key.substring(Records.HELD.length()), value != null);
    }
  }

  private void setUnknown(String id, JsonNode value) {
    boolean given = value != null && Records.isAbandoned(value);
    mark(abandoned, id, given);
    mark(unknown, id, value != null && !given);
  }

  private void mark(Set<String> ids, String id, boolean present) {
    if (present) {
      ids.add(id);
    } else {
      ids.remove(id);
    }
    JobRecord entry = jobs.get(id);
    if (entry != null) {
      watchers.forEach(watcher -> watcher.onJobChanged(entry));
    }
  }

  private void setJob(String id, JsonNode value) {
    if (value == null || bundled.contains(id)) {
      return;
    }
    try {
      JobRecord entry = new JobRecord(Records.decodeJob(value), Records.decodeTasksPerShard(value));
      jobs.put(id, entry);
      active.put(id, entry);
      watchers.forEach(watcher -> watcher.onJobChanged(entry));
    } catch (MalformedMessageException e) {
      LOG.error("the record of job {} is unreadable: {}", id, e.getMessage());
    }
  }

  private void setOutcome(String id, JsonNode value) {
    JobRecord entry = jobs.get(id);
    if (entry != null && value != null) {
      entry.setOutcome(Records.decodeOutcome(value));
      settle(entry);
      watchers.forEach(watcher -> watcher.onJobChanged(entry));
    }
  }

  private void setProgress(String rest, JsonNode value, long version) {
    int slash = rest.lastIndexOf('/');
    JobRecord entry = slash < 0 ? null : jobs.get(rest.substring(0, slash));
    if (entry != null) {
      int index = Integer.parseInt(rest.substring(slash + 1));
      // A removal that a bundle would undo is written down as an empty record.
      boolean removed = value == null || value.isEmpty();
      JobRecord.VersionedShard record =
          removed ? null : new JobRecord.VersionedShard(Records.decodeShard(value), version);
      Shard before = entry.setShard(index, record);
      settle(entry);
      Shard after = record == null ? Shard.EMPTY : record.shard();
      watchers.forEach(watcher -> watcher.onProgress(entry, before, after));
    }
  }

  private void settle(JobRecord entry) {
    if (entry.outcome() != null && entry.shards().isEmpty()) {
      active.remove(entry.job().id());
    } else {
      active.put(entry.job().id(), entry);
    }
  }

  private void setCatalog(JsonNode value, long version) {
    try {
      catalog = CloudProtocol.parseCatalog(value);
      catalogRecord = value;
      catalogVersion = version;
    } catch (MalformedMessageException e) {
      LOG.error(
          "the record of the catalog is unreadable: {} {}", e.getMessage(), Json.toBytes(value));
    }
  }
}
