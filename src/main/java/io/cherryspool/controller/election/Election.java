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
 * This node's part in leader election: keeps a lease in the state store, stands for election while
 * there is no leader, and hands leadership over. Who leads is read from the records alone: an
 * election whose answer was lost, or that is applied late, counts as soon as its record is seen,
 * and not before.
 *
 * <p>All methods are called on the event loop.
 */
public final class Election implements Lifecycle {
  /** How often a node that doesn't lead renews its lease in the lease's length. */
  private static final int RENEWALS_PER_LEASE = 4;

  /** Leaders renew more often, so that a short refusal leaves most of the lease. */
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

  /** When the records were last read on this election's behalf; null before the first time. */
  private Duration lastRefreshAt;

  private EventLoop.Timer timer;

  /**
   * Creates the election.
   *
   * @param self the process that is to lead
   * @param reachability decides how long leases are and how long a candidate waits
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
    leases = new NodeLeases(loop, stateStore, timings, new LeaseEvents());
    leadership = new Leadership(loop, records, leases, self, timings);
    handover = new LeadershipHandover(stateStore, leases, leadership);
    replacement =
        new LeaseReplacement(loop, stateStore, leases, leadership, handover, reachability);
    campaign = new Campaign(loop, stateStore, random, timings, leases, leadership, reachability);
  }

  /** What the leases set off. */
  private final class LeaseEvents implements NodeLeases.Listener {
    @Override
    public void leaseGranted() {
      observeRecords();
    }

    @Override
    public void leasesChanged() {
      onLeadershipChange.run();
    }

    @Override
    public void leaseExpiredPrematurely() {
      onPrematureLeaseExpiry.run();
    }

    @Override
    public void renewalRetryDue() {
      renewLeases();
    }
  }

  /**
   * Sets the listener that is called when leadership may have changed; it may be called without a
   * change. To be called once, before {@link #start}.
   */
  public void onLeadershipChange(Runnable listener) {
    onLeadershipChange = listener;
    campaign.onConcluded(listener);
    records.onChange(this::observeRecords);
  }

  /**
   * Sets the listener that is called when the state store no longer knows a lease that was renewed
   * in time, which it does only after losing data.
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

  /** The highest term in the records or shown by a worker or another node. */
  public long highestKnownTerm() {
    return leadership.highestKnownTerm();
  }

  /** Takes note of a term that a worker or another node has shown; a lower leader stops at once. */
  public void observeTerm(long term) {
    if (leadership.observeTerm(term) && records.term() < term) {
      records.refresh().exceptionally(failure -> null);
      onLeadershipChange.run();
    }
  }

  /** Whether the records name this process as the leader, by a lease that it still has. */
  public boolean isLeader() {
    return leadership.isLeader();
  }

  /**
   * Whether this process leads and may keep workers alive and command them now. Counted from the
   * sending of the last renewal that was confirmed, and of the last read, so that it misses no
   * cancel for longer than {@link Timings#authority}.
   */
  public boolean mayCommandWorkers() {
    return leadership.mayCommandWorkers();
  }

  /**
   * Whether this process leads and its lease certainly still holds, so that there can be no other
   * leader and it alone may change the fleet.
   */
  public boolean mayChangeFleet() {
    return leadership.mayChangeFleet();
  }

  /**
   * Hands leadership over to a node that workers reach better; without effect on a node that
   * doesn't lead. The successor's record only sets the order in which the nodes stand for election,
   * and the first to stand is elected as ever. The lease is given up whether or not the record
   * could be written.
   *
   * @param successor the other node's name
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
