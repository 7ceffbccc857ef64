package io.cherryspool.recovery;

import io.cherryspool.lifecycle.EventLoop;
import io.cherryspool.store.Incarnation;
import io.cherryspool.store.RollbackDetector;
import io.cherryspool.store.StateStoreClient;
import java.time.Duration;
import java.util.Optional;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Polls the identity record while this node waits for records that it can serve, and decides what
 * to do: load the records of the incarnation, contribute to another node's rebuild, start a
 * rebuild, or install a new cluster. Confined to the event loop.
 */
final class IncarnationMonitor {
  private static final Logger LOG = LoggerFactory.getLogger(IncarnationMonitor.class);

  private final EventLoop loop;
  private final RecoveryStore store;
  private final PeerSurvey peers;
  private final RecoveryState state;
  private final Contributions contributions;
  private final RebuildCoordinator coordinator;
  private final FirstInstallation installation;
  private boolean isReading;
  private Optional<Duration> lastAnsweredRequestSentAt = Optional.empty();

  IncarnationMonitor(
      EventLoop loop,
      RecoveryStore store,
      PeerSurvey peers,
      RecoveryState state,
      Contributions contributions,
      RebuildCoordinator coordinator,
      FirstInstallation installation) {
    this.loop = loop;
    this.store = store;
    this.peers = peers;
    this.state = state;
    this.contributions = contributions;
    this.coordinator = coordinator;
    this.installation = installation;
  }

  /** The time at which the last successful read of the identity record was sent, empty if none. */
  Optional<Duration> lastAnsweredRequestSentAt() {
    return lastAnsweredRequestSentAt;
  }

  /** Reads the identity record if this node waits for records and no request is outstanding. */
  void poll() {
    boolean isBusy = isReading || installation.isPending() || state.isLoading();
    if (state.isWaiting() && !isBusy) {
      read();
    }
  }

  private void read() {
    isReading = true;
    Duration sentAt = loop.now();
    store
        .readIncarnation()
        .whenComplete(
            (reading, failure) -> {
              isReading = false;
              if (failure != null) {
                return;
              }
              lastAnsweredRequestSentAt = Optional.of(sentAt);
              if (state.isWaiting()) {
                processReading(reading);
              }
            });
  }

  private void processReading(StateStoreClient.IncarnationReading reading) {
    Incarnation record = reading.incarnation();
    if (record == null) {
      processMissingRecord();
    } else if (isOfOtherCluster(record)) {
      reportOtherCluster(record);
    } else if (isServable(record)) {
      if (peers.mayLoadRecords() && !peers.hasPeerStoppedServing(record)) {
        state.load(reading);
      }
    } else {
      state.holdIfStarting();
      if (record.phase() == Incarnation.Phase.REBUILDING) {
        contributions.contribute(record, reading.version());
      }
      coordinator.rebuildIfElected(Optional.of(record), reading.version(), this::read);
    }
  }

  private void processMissingRecord() {
    if (state.hasRetainedRecords() || peers.hasPeerWithRecords()) {
      state.holdIfStarting();
      coordinator.rebuildIfElected(Optional.empty(), 0, this::read);
    } else if (peers.mayAssumeNoRetainedRecords()) {
      installation.begin(this::rebuildFromNothing);
    }
  }

  private void rebuildFromNothing() {
    state.statistics().recordLoss(RollbackDetector.Loss.INCARNATION_GONE);
    state.hold();
    coordinator.rebuild(Optional.empty(), 0, this::read);
  }

  private boolean isOfOtherCluster(Incarnation record) {
    String cluster = state.retainedSnapshot().cluster();
    return !cluster.isEmpty() && !cluster.equals(record.cluster());
  }

  private void reportOtherCluster(Incarnation record) {
    if (!state.statistics().hasFoundOtherCluster()) {
      LOG.error(
          "the state store holds cluster={}, and this node belongs to cluster={}",
          record.cluster(),
          state.retainedSnapshot().cluster());
    }
    state.statistics().recordOtherCluster();
  }

  /**
   * Whether the records of this incarnation are complete, are not known to be lost, and are not
   * older than those that this node retains.
   */
  private boolean isServable(Incarnation record) {
    boolean isOlder = record.number() < state.retainedSnapshot().position().incarnationNumber();
    return record.phase() == Incarnation.Phase.SERVING && !isOlder && !state.isLost(record);
  }
}
