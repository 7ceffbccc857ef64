package io.cherryspool.controller.election;

import io.cherryspool.controller.timing.Timings;
import io.cherryspool.lifecycle.EventLoop;
import io.cherryspool.lifecycle.Lifecycle;
import io.cherryspool.model.Durations;
import io.cherryspool.reachability.Reachability;
import io.cherryspool.store.ClusterRecords;
import io.cherryspool.store.Records;
import java.time.Duration;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * Takes part in leader election for this node: keeps a lease in the state store, runs for election
 * while there is no leader, and hands leadership over. Only the records decide who leads: if the
 * answer to an election's transaction was lost, or the state store applied the transaction late,
 * the election takes effect only once this node has read the leader's record.
 *
 * <p>All methods are called on the event loop.
 */
public final class Election implements Lifecycle {
  /** The number of renewals within the length of a lease, for a node that doesn't lead. */
  private static final int RENEWALS_PER_LEASE = 4;

  /**
   * The number of renewals within the length of a lease, for a leader. Leaders renew more often, so
   * that most of the lease is left when the state store refuses requests for a short time.
   */
  private static final int LEADER_RENEWALS_PER_LEASE = 8;

  private final EventLoop loop;
  private final ClusterRecords records;
  private final Timings timings;
  private final NodeLeases leases;
  private final Leadership leadership;
  private final LeadershipHandover handover;
  private final LeaseReplacement replacement;
  private final Campaign campaign;
  private Runnable onLeadershipChange = () -> {};
  private Runnable onPrematureLeaseExpiry = () -> {};

  /** When this election last requested a read of the records; null before the first request. */
  private Duration lastRefreshAt;

  private EventLoop.Timer timer;

  /**
   * Creates the election.
   *
   * @param self the process that takes part in elections
   * @param reachability determines how long leases are and how long a candidate waits
   */
  public Election(
      EventLoop loop,
      StateStoreAccess stateStore,
      RandomGenerator random,
      Timings timings,
      ProcessIdentity self,
      Reachability reachability) {
    this.loop = loop;
    this.records = stateStore.records();
    this.timings = timings;
    leases = new NodeLeases(loop, stateStore, timings, new LeaseListener());
    leadership = new Leadership(loop, records, leases, self, timings);
    handover = new LeadershipHandover(stateStore, leases, leadership);
    replacement =
        new LeaseReplacement(loop, stateStore, leases, leadership, handover, reachability);
    campaign = new Campaign(loop, stateStore, random, timings, leases, leadership, reachability);
  }

  /** Responds to changes of this node's leases. */
  private final class LeaseListener implements NodeLeases.Listener {
    @Override
    public void onLeaseGranted() {
      observeRecords();
    }

    @Override
    public void onLeasesChanged() {
      onLeadershipChange.run();
    }

    @Override
    public void onLeaseExpiredPrematurely() {
      onPrematureLeaseExpiry.run();
    }

    @Override
    public void onRenewalRetryDue() {
      renewLeases();
    }
  }

  /**
   * Sets the listener that is called when leadership may have changed; it may also be called
   * without a change. Must be called once, before {@link #start}.
   */
  public void onLeadershipChange(Runnable listener) {
    onLeadershipChange = listener;
    campaign.onConcluded(listener);
    records.onChange(this::observeRecords);
  }

  /**
   * Sets the listener that is called when the state store no longer has a lease although it was
   * renewed in time. This happens only if the state store has lost data.
   */
  public void onPrematureLeaseExpiry(Runnable listener) {
    onPrematureLeaseExpiry = listener;
  }

  @Override
  public void start() {
    tick();
  }

  @Override
  public void stop() {
    if (timer != null) {
      timer.cancel();
    }
    campaign.stop();
    leases.stop();
  }

  /**
   * Returns the highest term that the records contain or that a worker or another node has sent.
   */
  public long highestKnownTerm() {
    return leadership.highestKnownTerm();
  }

  /**
   * Records a term that a worker or another node has sent. If this node leads in a lower term, it
   * stops leading at once.
   */
  public void observeTerm(long term) {
    if (leadership.observeTerm(term) && records.term() < term) {
      records.refresh().exceptionally(failure -> null);
      onLeadershipChange.run();
    }
  }

  /**
   * Whether the records name this process as the leader, by a lease that it still holds, and no
   * higher term has been observed.
   */
  public boolean isLeader() {
    return leadership.isLeader();
  }

  /**
   * Whether this process leads and may now renew workers' leases and send them commands. Both the
   * last confirmed renewal of its lease and its last confirmed read of the records must have been
   * sent less than {@link Timings#maxLeaderAuthority} ago, so that it misses no cancellation for
   * longer than that.
   */
  public boolean mayCommandWorkers() {
    return leadership.mayCommandWorkers();
  }

  /**
   * Whether this process leads and its lease is certain to be valid, so that there can be no other
   * leader and only this process may change the fleet.
   */
  public boolean mayChangeFleet() {
    return leadership.mayChangeFleet();
  }

  /**
   * Hands leadership over to a node that more workers reach; has no effect on a node that doesn't
   * lead. The record of the successor only determines the order in which nodes run for election;
   * the first node to run is elected, as in any other election. This node revokes its lease whether
   * or not the record could be written.
   *
   * @param successor the name of the node that should lead next
   */
  public void handOverTo(String successor) {
    handover.begin(successor);
  }

  private void tick() {
    int renewals = isLeader() ? LEADER_RENEWALS_PER_LEASE : RENEWALS_PER_LEASE;
    timer = loop.schedule(Durations.divide(timings.stateStoreLease(), renewals), this::tick);
    renewLeases();
    refreshRecords();
    observeRecords();
  }

  private void renewLeases() {
    leases.cancelRetry();
    if (leases.current().isEmpty()) {
      leases.requestCurrent();
      return;
    }
    leases.renew();
    replacement.advance();
  }

  private void refreshRecords() {
    Duration now = loop.now();
    Duration period = Durations.divide(timings.stateStoreLease(), RENEWALS_PER_LEASE);
    if (lastRefreshAt == null || now.minus(lastRefreshAt).compareTo(period) >= 0) {
      lastRefreshAt = now;
      records.refresh().exceptionally(failure -> null);
    }
  }

  private void observeRecords() {
    onLeadershipChange.run();
    if (!records.isLoaded()) {
      return;
    }
    Records.Leader leader = records.leader();
    if (leader != null) {
      replacement.completeIfMoved(leader);
    }
    campaign.campaignIfNeeded(Optional.ofNullable(leader));
  }
}
