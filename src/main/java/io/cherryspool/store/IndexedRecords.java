package io.cherryspool.store;

import io.cherryspool.model.MachineType;
import java.util.Collection;
import java.util.List;
import java.util.Set;

/**
 * Implements the methods of {@link ClusterRecords} that need only the index and the incarnation.
 */
abstract class IndexedRecords implements ClusterRecords {
  private final KeySpace keySpace;
  private final RecordIndex index;

  IndexedRecords(KeySpace keySpace) {
    this.keySpace = keySpace;
    this.index = new RecordIndex(keySpace);
  }

  final RecordIndex index() {
    return index;
  }

  @Override
  public final void addListener(RecordsListener listener) {
    index.jobs().addListener(listener);
  }

  @Override
  public final void removeListener(RecordsListener listener) {
    index.jobs().removeListener(listener);
  }

  @Override
  public final JobRecord job(String id) {
    return index.jobs().job(id);
  }

  @Override
  public final Collection<JobRecord> jobs() {
    return index.jobs().all();
  }

  @Override
  public final int jobCount() {
    return index.jobs().count();
  }

  @Override
  public final Collection<JobRecord> activeJobs() {
    return index.jobs().active();
  }

  @Override
  public final long term() {
    return index.term();
  }

  @Override
  public final long termVersion() {
    return index.termVersion();
  }

  @Override
  public final Records.Leader leader() {
    return index.leader();
  }

  @Override
  public final long leaderVersion() {
    return index.leaderVersion();
  }

  @Override
  public final Records.Successor successor() {
    return index.successor();
  }

  @Override
  public final List<MachineType> catalog() {
    return index.catalog();
  }

  @Override
  public final long catalogVersion() {
    return index.catalogVersion();
  }

  @Override
  public final boolean isReconciled() {
    return !isPartialRebuild() || index.isReconciled();
  }

  @Override
  public final boolean isFullyReconciled() {
    return isReconciled() && !index.jobs().hasUnresolvedJobs();
  }

  @Override
  public final boolean isPartialRebuild() {
    Incarnation incarnation = keySpace.incarnation();
    return incarnation != null && !incarnation.isComplete();
  }

  @Override
  public final String instanceRequestPrefix() {
    Incarnation incarnation = keySpace.incarnation();
    return incarnation == null || incarnation.number() == 0
        ? "cs-"
        : "cs-" + incarnation.nonce() + "-";
  }

  @Override
  public final Set<String> unknownJobs() {
    return index.jobs().unknownIds();
  }

  @Override
  public final boolean isUnknownJob(String id) {
    return index.jobs().unknownIds().contains(id);
  }

  @Override
  public final boolean isAbandonedJob(String id) {
    return index.jobs().isAbandoned(id);
  }

  @Override
  public final Set<String> heldJobs() {
    return index.jobs().heldIds();
  }

  @Override
  public final boolean isRebuiltJob(String id) {
    return index.jobs().isRebuilt(id);
  }
}
