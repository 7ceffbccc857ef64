package io.cherryspool.store;

import com.fasterxml.jackson.databind.JsonNode;
import io.cherryspool.model.MachineType;
import io.cherryspool.wire.CloudProtocol;
import io.cherryspool.wire.Json;
import io.cherryspool.wire.MalformedMessageException;
import io.cherryspool.wire.StateStoreProtocol;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The decoded records: the term, the leader, the catalog, and the jobs with their progress in a
 * {@link JobIndex}.
 */
final class RecordIndex {
  private static final Logger LOG = LoggerFactory.getLogger(RecordIndex.class);

  private final JobIndex jobs;
  private long term;
  private long termVersion;
  private Records.Leader leader;
  private long leaderVersion;
  private Records.Successor successor;
  private List<MachineType> catalog;
  private long catalogVersion;
  private JsonNode catalogRecord;
  private boolean isReconciled;

  /**
   * Creates an empty index.
   *
   * @param keySpace keeps the keys of the progress records that are in bundles
   */
  RecordIndex(KeySpace keySpace) {
    jobs = new JobIndex(keySpace);
  }

  JobIndex jobs() {
    return jobs;
  }

  /** Implements {@link ClusterRecords#term}. */
  long term() {
    return term;
  }

  /** Implements {@link ClusterRecords#termVersion}. */
  long termVersion() {
    return termVersion;
  }

  /** Implements {@link ClusterRecords#leader}. */
  Records.Leader leader() {
    return leader;
  }

  /** Implements {@link ClusterRecords#leaderVersion}. */
  long leaderVersion() {
    return leaderVersion;
  }

  /** Implements {@link ClusterRecords#successor}. */
  Records.Successor successor() {
    return successor != null && successor.term() == term ? successor : null;
  }

  /** Implements {@link ClusterRecords#catalog}. */
  List<MachineType> catalog() {
    return catalog;
  }

  /** Implements {@link ClusterRecords#catalogVersion}. */
  long catalogVersion() {
    return catalogVersion;
  }

  /** The undecoded value of the catalog record, or null if there is none. */
  JsonNode catalogRecord() {
    return catalogRecord;
  }

  /**
   * Whether a leader has recorded that it reconciled the records with the tasks that were running
   * when the state store lost its data.
   */
  boolean isReconciled() {
    return isReconciled;
  }

  /**
   * Replaces all records.
   *
   * @param rebuilt the jobs in the bundles of the rebuild that began the incarnation
   * @param events the current values of all keys, which are applied after the rebuilt jobs
   */
  void replaceAll(
      Collection<RecordsSnapshot.JobSnapshot> rebuilt,
      Collection<StateStoreProtocol.Event> events) {
    term = 0;
    termVersion = 0;
    leader = null;
    leaderVersion = 0;
    successor = null;
    catalog = null;
    catalogVersion = 0;
    catalogRecord = null;
    isReconciled = false;
    jobs.replaceAll(rebuilt);
    // Outcomes and progress records refer to jobs, so the jobs must be added first.
    Set<StateStoreProtocol.Event> dependent = new HashSet<>();
    for (StateStoreProtocol.Event event : events) {
      String key = event.key();
      if (key.startsWith(Records.OUTCOMES) || key.startsWith(Records.PROGRESS)) {
        dependent.add(event);
      } else {
        set(event);
      }
    }
    dependent.forEach(this::set);
    jobs.notifyReloaded();
  }

  /** Applies the new value of a key. A null value removes the record. */
  void set(StateStoreProtocol.Event event) {
    String key = event.key();
    JsonNode value = event.value();
    if (jobs.set(key, value, event.version())) {
      return;
    }
    long version = value == null ? 0 : event.version();
    switch (key) {
      case Records.TERM -> {
        term = value == null ? 0 : Records.decodeTerm(value);
        termVersion = version;
      }
      case Records.LEADER -> {
        leader = value == null ? null : Records.decodeLeader(value);
        leaderVersion = version;
      }
      case Records.SUCCESSOR -> successor = value == null ? null : Records.decodeSuccessor(value);
      case Records.CATALOG -> setCatalog(value, version);
      case Records.RECONCILED -> isReconciled = value != null;
      default -> {
        // Bundles and the identity record are decoded elsewhere.
      }
    }
  }

  /**
   * Applies the new value of the catalog. A removal is ignored, because the last known catalog is
   * better than none.
   */
  private void setCatalog(JsonNode value, long version) {
    if (value == null) {
      return;
    }
    try {
      catalog = CloudProtocol.parseCatalog(value);
      catalogRecord = value;
      catalogVersion = version;
    } catch (MalformedMessageException e) {
      LOG.error(
          "ignoring unreadable catalog record: {}, record={}", e.getMessage(), Json.toBytes(value));
    }
  }
}
