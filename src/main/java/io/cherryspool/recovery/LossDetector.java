package io.cherryspool.recovery;

import io.cherryspool.store.ClusterRecords;
import io.cherryspool.store.Incarnation;
import io.cherryspool.store.RollbackDetector;
import io.cherryspool.wire.StateStoreProtocol;
import java.util.List;
import java.util.Optional;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Compares what the state store answers with what this node and the others know of its history.
 * Once history is lost, the node holds; once records are loaded that lack nothing, it serves.
 * Confined to the event loop.
 */
final class LossDetector implements RollbackDetector {
  private static final Logger LOG = LoggerFactory.getLogger(LossDetector.class);

  private final RecoveryStore store;
  private final ClusterRecords replica;
  private final ClusterNode node;
  private final RecoveryState state;
  private final Contributions contributions;
  private long minimumRevision;

  LossDetector(
      RecoveryStore store,
      ClusterRecords replica,
      ClusterNode node,
      RecoveryState state,
      Contributions contributions) {
    this.store = store;
    this.replica = replica;
    this.node = node;
    this.state = state;
    this.contributions = contributions;
  }

  /**
   * Checks a term that a worker or another node has shown. Terms are recorded before anybody learns
   * of them, so that one which a later read does not show was lost.
   */
  void observeTerm(long term) {
    if (!state.isServing() || term <= replica.term() || !replica.isReconciled()) {
      return;
    }
    replica
        .refresh()
        .whenComplete(
            (nothing, failure) -> {
              if (failure == null
                  && state.isServing()
                  && replica.term() < term
                  && replica.isReconciled()) {
                reportLoss(Loss.TERM_MISSING, "term " + term + " after term " + replica.term());
              }
            });
  }

  @Override
  public long minimumRevision() {
    return state.isServing() ? minimumRevision : 0;
  }

  @Override
  public boolean verifyRevision(long minimumAtSending, long revision) {
    if (revision < minimumAtSending) {
      reportLoss(Loss.REVISION_WENT_BACK, "revision " + revision + " after " + minimumAtSending);
      return false;
    }
    if (state.isServing()) {
      minimumRevision = Math.max(minimumRevision, revision);
    }
    return true;
  }

  /** What another node has seen of the same history, this one must see too. */
  void raiseMinimumRevision() {
    if (!state.isServing()) {
      return;
    }
    Incarnation present = store.loadedIncarnation().orElseThrow();
    for (Peer peer : node.peers()) {
      if (peer.retainedRecords().belongsTo(present)) {
        minimumRevision = Math.max(minimumRevision, peer.retainedRecords().position().revision());
      }
    }
  }

  @Override
  public void onIncarnationChanged() {
    if (state.isServing()) {
      LOG.info("the records belong to another incarnation now");
      state.retainReplica();
      state.hold();
    } else {
      state.holdIfStarting();
    }
  }

  @Override
  public void reportLoss(Loss loss, String detail) {
    Optional<Incarnation> present = store.loadedIncarnation();
    boolean isKnown = present.filter(state::isLost).isPresent();
    if (state.isRebuilding() || (state.isHolding() && isKnown)) {
      return;
    }
    LOG.warn("the state store has lost data: sign={}: {}; holding until rebuilt", loss, detail);
    // A leader of records rebuilt from a part of them does not know of every start either.
    boolean wasSoleLeader =
        node.isSoleLeader() && !loss.showsAnotherLeader() && replica.isFullyReconciled();
    state.loseIncarnation(loss, present, wasSoleLeader);
  }

  @Override
  public void onCommitApplied(List<StateStoreProtocol.Change> changes, long revision) {
    contributions.recordApplied(changes, revision);
  }

  @Override
  public void onRecordsLoaded() {
    if (state.isServing() || reportIfIncomplete()) {
      return;
    }
    state.serve();
    minimumRevision = replica.revision();
    // Before anything is answered: the others may know that these records are too old.
    raiseMinimumRevision();
    LOG.info(
        "serving incarnation={} from revision={}",
        store.loadedIncarnation().orElseThrow().number(),
        minimumRevision);
    int added = contributions.addMissingRecords(state.retained(), state::isServing);
    state.clearRetained();
    state.statistics().countAddedRecords(added);
    node.onServingChanged();
  }

  /** Reports a loss if the loaded records lack what this node retains of the same incarnation. */
  private boolean reportIfIncomplete() {
    Incarnation present = store.loadedIncarnation().orElseThrow();
    if (!state.isRetainedFrom(present)) {
      return false;
    }
    long retainedRevision = state.retained().position().revision();
    if (replica.revision() < retainedRevision) {
      reportLoss(Loss.REVISION_WENT_BACK, replica.revision() + " after " + retainedRevision);
      return true;
    }
    for (String id : state.retained().jobs().keySet()) {
      if (replica.job(id) == null) {
        reportLoss(Loss.RECORDS_GONE, "job " + id + " of incarnation " + present.number());
        return true;
      }
    }
    return false;
  }
}
