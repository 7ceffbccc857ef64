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
 * The records as objects, built from the values of single keys: the term, the leader, the catalog,
 * and in a {@link JobIndex} the jobs with their progress.
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
   * @param keySpace where the progress records are noted that bundles hold
   */
  RecordIndex(KeySpace keySpace) {
    jobs = new JobIndex(keySpace);
  }

  JobIndex jobs() {
    return jobs;
  }

  /** See {@link ClusterRecords#term}. */
  long term() {
    return term;
  }

  /** See {@link ClusterRecords#termVersion}. */
  long termVersion() {
    return termVersion;
  }

  /** See {@link ClusterRecords#leader}. */
  Records.Leader leader() {
    return leader;
  }

  /** See {@link ClusterRecords#leaderVersion}. */
  long leaderVersion() {
    return leaderVersion;
  }

  /** See {@link ClusterRecords#successor}. */
  Records.Successor successor() {
    return successor != null && successor.term() == term ? successor : null;
  }

  /** See {@link ClusterRecords#catalog}. */
  List<MachineType> catalog() {
    return catalog;
  }

  /** See {@link ClusterRecords#catalogVersion}. */
  long catalogVersion() {
    return catalogVersion;
  }

  /** The catalog's record as it was read, or null if there is none. */
  JsonNode catalogRecord() {
    return catalogRecord;
  }

  /** Whether a leader has recorded that it reconciled what ran when the state was lost. */
  boolean isReconciled() {
    return isReconciled;
  }

  /**
   * Replaces everything.
   *
   * @param rebuilt the jobs of the rebuild that the incarnation began with
   * @param events the present values of all keys; read on top of the rebuilt jobs
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
    // Outcomes and progress refer to jobs, which have to be there first.
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

  /** Applies a key's new value, or with a null value its removal. */
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
        // Bundles and the identity are read elsewhere.
      }
    }
  }

  /** A catalog's removal is not applied: the last known one is better than none. */
  private void setCatalog(JsonNode value, long version) {
    if (value == null) {
      return;
    }
    try {
      catalog = CloudProtocol.parseCatalog(value);
      catalogRecord = value;
      catalogVersion = version;
    } catch (MalformedMessageException e) {
      LOG.error("unreadable record of the catalog: {} {}", e.getMessage(), Json.toBytes(value));
    }
  }
}
