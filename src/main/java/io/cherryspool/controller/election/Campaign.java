package io.cherryspool.controller.election;

import io.cherryspool.controller.timing.Timings;
import io.cherryspool.lifecycle.EventLoop;
import io.cherryspool.reachability.NodeView;
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
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Runs for election on behalf of this node while the records name no leader. The answer to the
 * election's transaction may be lost or late, so the records that are read afterwards decide who
 * was elected.
 */
final class Campaign {
  private static final Logger LOG = LoggerFactory.getLogger(Campaign.class);

  /** The random part of a candidacy's delay is less than the lease's length divided by this. */
  private static final int LEASE_PER_MAX_JITTER = 20;

  private final EventLoop loop;
  private final StateStoreClient client;
  private final RateLimiter rateLimiter;
  private final ClusterRecords records;
  private final RandomGenerator random;
  private final Timings timings;
  private final NodeLeases leases;
  private final Leadership leadership;
  private final Reachability reachability;
  private Runnable onConcluded = () -> {};
  private boolean isRequestPending;
  private EventLoop.Timer candidacyTimer;

  Campaign(
      EventLoop loop,
      StateStoreAccess stateStore,
      RandomGenerator random,
      Timings timings,
      NodeLeases leases,
      Leadership leadership,
      Reachability reachability) {
    this.loop = loop;
    this.client = stateStore.client();
    this.rateLimiter = stateStore.rateLimiter();
    this.records = stateStore.records();
    this.random = random;
    this.timings = timings;
    this.leases = leases;
    this.leadership = leadership;
    this.reachability = reachability;
  }

  /**
   * Sets the listener that is called after each request of this campaign, once the records have
   * been read again or could not be read.
   */
  void onConcluded(Runnable listener) {
    onConcluded = listener;
  }

  void stop() {
    if (candidacyTimer != null) {
      candidacyTimer.cancel();
    }
  }

  /**
   * Schedules a candidacy if there is no leader. If the records still name an earlier process of
   * this node as leader, revokes that process's lease. The records must be loaded.
   *
   * @param leader the leader that the records name; empty if they name none
   */
  void campaignIfNeeded(Optional<Records.Leader> leader) {
    if (leases.current().isEmpty() || isRequestPending || candidacyTimer != null) {
      return;
    }
    if (leader.isEmpty()) {
      long maxJitter = timings.stateStoreLease().toMillis() / LEASE_PER_MAX_JITTER;
      long jitter = random.nextLong(Math.max(1, maxJitter));
      candidacyTimer = loop.schedule(candidacyDelay().plusMillis(jitter), this::runForElection);
    } else if (leadership.isEarlierProcess(leader.get())) {
      revokeLeaseOfEarlierProcess(leader.get());
    }
  }

  /**
   * Returns how long to wait before running for election, given the links of this node and of the
   * other nodes.
   */
  private Duration candidacyDelay() {
    Optional<NodeView.Handover> handover =
        Optional.ofNullable(records.successor())
            .map(record -> new NodeView.Handover(record.node(), record.predecessor()));
    return reachability.candidacyDelay(loop.now(), handover);
  }

  /**
   * Revokes the lease of the process that ran on this node before. That process has ended, because
   * this one has taken its place.
   */
  private void revokeLeaseOfEarlierProcess(Records.Leader leader) {
    LOG.info("revoking the lease of an earlier process of this node, lease={}", leader.leaseId());
    isRequestPending = true;
    rateLimiter.forceAcquire(0);
    client.revokeLease(leader.leaseId()).whenComplete((nothing, failure) -> readOutcome());
  }

  private void runForElection() {
    candidacyTimer = null;
    Optional<StateStoreLease> current = leases.current();
    if (!records.isLoaded() || current.isEmpty() || records.leader() != null) {
      return;
    }
    isRequestPending = true;
    StateStoreLease lease = current.get();
    // After a loss of records, workers and other nodes may have observed a higher term than the
    // records contain.
    long term = leadership.highestKnownTerm() + 1;
    rateLimiter.forceAcquire(2);
    LOG.info("standing for election, term={}", term);
    client
        .commit(transactionConditions(), transactionChanges(term, lease))
        .whenComplete(
            (result, failure) -> {
              if (failure != null
                  && StateStoreException.kindOf(failure)
                      == StateStoreException.Kind.INVALID_REQUEST) {
                leases.discardCurrent(lease);
              }
              readOutcome();
            });
  }

  private Map<String, Long> transactionConditions() {
    Map<String, Long> conditions = new LinkedHashMap<>();
    conditions.put(Records.LEADER, 0L);
    conditions.put(Records.TERM, records.termVersion());
    return conditions;
  }

  private List<StateStoreProtocol.Change> transactionChanges(long term, StateStoreLease lease) {
    Records.Leader record = leadership.leaderRecord(term, lease);
    return List.of(
        new StateStoreProtocol.Change(Records.TERM, Records.encodeTerm(term), 0),
        new StateStoreProtocol.Change(Records.LEADER, Records.encodeLeader(record), lease.id()));
  }

  /** Reads the outcome from the records, whether the request was answered or failed. */
  private void readOutcome() {
    records
        .refresh()
        .whenComplete(
            (nothing, failure) -> {
              isRequestPending = false;
              onConcluded.run();
            });
  }
}
