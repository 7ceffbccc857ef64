package io.cherryspool.controller.election;

import io.cherryspool.store.ClusterRecords;
import io.cherryspool.store.RateLimiter;
import io.cherryspool.store.Records;
import io.cherryspool.store.StateStoreClient;
import io.cherryspool.wire.StateStoreProtocol;
import java.util.List;
import java.util.Map;

/**
 * Hands leadership over to another node: records it as the successor, then revokes this node's
 * lease.
 */
final class LeadershipHandover {
  private final StateStoreClient client;
  private final RateLimiter rateLimiter;
  private final ClusterRecords records;
  private final NodeLeases leases;
  private final Leadership leadership;
  private boolean isPending;

  LeadershipHandover(StateStoreAccess stateStore, NodeLeases leases, Leadership leadership) {
    this.client = stateStore.client();
    this.rateLimiter = stateStore.rateLimiter();
    this.records = stateStore.records();
    this.leases = leases;
    this.leadership = leadership;
  }

  /** Whether the record of the successor has been sent and not answered yet. */
  boolean isPending() {
    return isPending;
  }

  /** See {@link Election#handOverTo}. */
  void begin(String successor) {
    if (isPending || !leadership.isLeader()) {
      return;
    }
    isPending = true;
    StateStoreLease leaseAtBegin = leases.current().orElse(null);
    Records.Successor record =
        new Records.Successor(
            records.term(), /* node= */ successor, /* predecessor= */ leadership.node());
    rateLimiter.forceAcquire(1);
    client
        .commit(
            Map.of(Records.TERM, records.termVersion()),
            List.of(
                new StateStoreProtocol.Change(
                    Records.SUCCESSOR, Records.encodeSuccessor(record), 0)))
        .whenComplete(
            (result, failure) -> {
              isPending = false;
              if (leases.isCurrent(leaseAtBegin)) {
                leases.relinquish();
              }
            });
  }
}
