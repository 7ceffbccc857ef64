package io.cherryspool.controller.election;

import io.cherryspool.lifecycle.EventLoop;
import io.cherryspool.reachability.Reachability;
import io.cherryspool.store.ClusterRecords;
import io.cherryspool.store.RateLimiter;
import io.cherryspool.store.Records;
import io.cherryspool.store.StateStoreClient;
import io.cherryspool.store.StateStoreException;
import io.cherryspool.wire.StateStoreProtocol;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Changes the length of a leader's lease: requests a lease of the new length, attaches the leader's
 * record to it, and revokes the old lease once the records show that the record is attached to the
 * new one. Until then this node renews both leases. It remains leader by the lease to which the
 * record is attached, whichever of the two that is.
 */
final class LeaseReplacement {
  private static final Logger LOG = LoggerFactory.getLogger(LeaseReplacement.class);

  private final EventLoop loop;
  private final StateStoreClient client;
  private final RateLimiter rateLimiter;
  private final ClusterRecords records;
  private final NodeLeases leases;
  private final Leadership leadership;
  private final LeadershipHandover handover;
  private final Reachability reachability;
  private boolean isMovePending;

  LeaseReplacement(
      EventLoop loop,
      StateStoreAccess stateStore,
      NodeLeases leases,
      Leadership leadership,
      LeadershipHandover handover,
      Reachability reachability) {
    this.loop = loop;
    this.client = stateStore.client();
    this.rateLimiter = stateStore.rateLimiter();
    this.records = stateStore.records();
    this.leases = leases;
    this.leadership = leadership;
    this.handover = handover;
    this.reachability = reachability;
  }

  /**
   * Takes the next step of a replacement, or begins one if the lease should have another length.
   * Called each time the leases are renewed, while there is a current lease.
   */
  void advance() {
    if (leases.replacement().isPresent()) {
      moveRecord();
    } else {
      adjustLength();
    }
  }

  /** Requests another lease if the leader's lease should now be longer or shorter. */
  private void adjustLength() {
    Duration targetLength = reachability.leaseLength(loop.now());
    if (leases.isRequestPending() || handover.isPending() || !leadership.mayChangeFleet()) {
      return;
    }
    StateStoreLease currentLease = leases.current().orElseThrow();
    if (targetLength.equals(currentLease.length())) {
      return;
    }
    leases.request(
        targetLength,
        granted -> {
          if (leases.isCurrent(currentLease) && leadership.isLeader()) {
            leases.setReplacement(granted);
            moveRecord();
          } else {
            leases.revoke(granted);
          }
        });
  }

  /**
   * Attaches the leader's record to the replacement. The transaction is conditional on the version
   * of the record that this node has read, so each attempt sends the same transaction until the
   * outcome is known: either this node reads that the record is attached to the replacement, or the
   * replacement has expired, so that no copy of the transaction can be applied any more.
   */
  private void moveRecord() {
    if (isMovePending || handover.isPending() || !leadership.isLeader()) {
      return;
    }
    isMovePending = true;
    StateStoreLease target = leases.replacement().orElseThrow();
    Map<String, Long> conditions = new LinkedHashMap<>();
    conditions.put(Records.LEADER, records.leaderVersion());
    conditions.put(Records.TERM, records.termVersion());
    Records.Leader record = leadership.leaderRecord(records.term(), target);
    rateLimiter.forceAcquire(1);
    client
        .commit(
            conditions,
            List.of(
                new StateStoreProtocol.Change(
                    Records.LEADER, Records.encodeLeader(record), target.id())))
        .whenComplete(
            (result, failure) -> {
              isMovePending = false;
              if (failure != null
                  && StateStoreException.kindOf(failure)
                      == StateStoreException.Kind.INVALID_REQUEST) {
                leases.discardReplacement(target);
              }
              records.refresh().exceptionally(refreshFailure -> null);
            });
  }

  /**
   * Completes the replacement if the leader's record, as just read, is attached to the replacement
   * lease.
   */
  void completeIfMoved(Records.Leader leader) {
    if (leadership.isThisProcess(leader) && leases.isReplacement(leader.leaseId())) {
      LOG.info(
          "lease replaced, lease={}, length={} ms",
          leader.leaseId(),
          leases.replacement().orElseThrow().length().toMillis());
      leases.promoteReplacement();
    }
  }
}
