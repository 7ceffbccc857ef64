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
 * Compares the answers of the state store with the history that this node and the other nodes know.
 * When it detects that history was lost, it makes the node stop serving. When complete records have
 * been loaded, it makes the node serve them. Confined to the event loop.
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
   * Checks a term that a worker or another node has reported. A term is recorded before it is sent
   * to anyone, so if a later read does not return it, its record was lost.
   */
  void observeTerm(long term) {
    if (!state.isServing() || term <= replica.term() || !replica.isReconciled()) {
      return;
    }
    replica
        .refresh()
        .whenComplete(
            (ignored, failure) -> {
              if (failure == null
                  && state.isServing()
                  && replica.term() < term
                  && replica.isReconciled()) {
                reportLoss(
                    Loss.TERM_MISSING,
                    "term "
                        + term
                        + " was reported, but the highest recorded term is "
                        + replica.term());
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
      reportLoss(
          Loss.REVISION_WENT_BACK,
          "an answer has revision "
              + revision
              + ", but at least revision "
              + minimumAtSending
              + " was expected");
      return false;
    }
    if (state.isServing()) {
      minimumRevision = Math.max(minimumRevision, revision);
    }
    return true;
  }

  /**
   * Raises the minimum revision to the highest one that another node has seen in the same
   * incarnation.
   */
  void raiseMinimumRevision() {
    if (!state.isServing()) {
      return;
    }
    Incarnation loaded = store.loadedIncarnation().orElseThrow();
    for (Peer peer : node.peers()) {
      if (peer.retainedRecords().belongsTo(loaded)) {
        minimumRevision = Math.max(minimumRevision, peer.retainedRecords().position().revision());
      }
    }
  }

  @Override
  public void onIncarnationChanged() {
    if (state.isServing()) {
      LOG.info("the identity record has changed; no longer serving the loaded incarnation");
      state.retainReplica();
      state.hold();
    } else {
      state.holdIfStarting();
    }
  }

  @Override
  public void reportLoss(Loss loss, String detail) {
    Optional<Incarnation> loaded = store.loadedIncarnation();
    boolean isKnown = loaded.filter(state::isLost).isPresent();
    if (state.isRebuilding() || (state.isHolding() && isKnown)) {
      return;
    }
    LOG.warn("the state store has lost data: sign={}: {}; holding until rebuilt", loss, detail);
    // The leader does not know every start if its records were rebuilt without some starts and are
    // not fully reconciled yet.
    boolean wasSoleLeader =
        node.isSoleLeader() && !loss.showsAnotherLeader() && replica.isFullyReconciled();
    state.recordLoss(loss, loaded, wasSoleLeader);
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
    // Must precede the first request: these records are too old if another node has seen a higher
    // revision of this incarnation.
    raiseMinimumRevision();
    LOG.info(
        "serving incarnation={} from revision={}",
        store.loadedIncarnation().orElseThrow().number(),
        minimumRevision);
    int added = contributions.addMissingRecords(state.retainedSnapshot(), state::isServing);
    state.clearRetained();
    state.statistics().countAddedRecords(added);
    node.onServingChanged();
  }

  /**
   * Reports a loss if the loaded records lack records that this node retains of the same
   * incarnation.
   */
  private boolean reportIfIncomplete() {
    Incarnation loaded = store.loadedIncarnation().orElseThrow();
    if (!state.hasRetainedRecordsOf(loaded)) {
      return false;
    }
    long retainedRevision = state.retainedSnapshot().position().revision();
    if (replica.revision() < retainedRevision) {
      reportLoss(
          Loss.REVISION_WENT_BACK,
          "the state store has revision "
              + replica.revision()
              + ", but this node retains revision "
              + retainedRevision);
      return true;
    }
    for (String id : state.retainedSnapshot().jobs().keySet()) {
      if (replica.job(id) == null) {
        reportLoss(
            Loss.RECORDS_GONE, "job " + id + " of incarnation " + loaded.number() + " is missing");
        return true;
      }
    }
    return false;
  }
}
