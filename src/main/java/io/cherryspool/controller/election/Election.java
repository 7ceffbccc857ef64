package io.cherryspool.controller.election;

import io.cherryspool.controller.timing.Timings;
import io.cherryspool.lifecycle.EventLoop;
import io.cherryspool.lifecycle.Lifecycle;
import io.cherryspool.model.Durations;
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
 * Keeps this node's lease in the state service and stands for leader while there is none. Who leads
 * is read from the replica alone: an election whose answer was lost, or that is applied late,
 * counts as soon as its record is seen, and not before.
 */
public final class Election implements Lifecycle {
  private static final Logger LOG = LoggerFactory.getLogger(Election.class);

  /** A node that does not lead renews its lease so many times in its length. */
  private static final int RENEWALS = 4;

  /** A leader does so more often, so that a short refusal leaves most of its lease. */
  private static final int LEADER_RENEWALS = 8;

  /** A refused renewal is tried again after this part of the lease. */
  private static final int RETRY_PART = 16;

  private final EventLoop loop;
  private final StateStoreClient client;
  private final RateLimiter rateLimiter;
  private final ClusterRecords replica;
  private final RandomGenerator random;
  private final Timings timings;
  private final String node;
  private final String instance;
  private final Reachability reachability;

  /** What the node stands and leads by; null while it has none. */
  private StateStoreLease lease;

  /**
   * A lease of another length, to which a leader attaches its record; null if it changes nothing.
   * Until the record is seen under it, both are renewed, and the leader leads by either.
   */
  private StateStoreLease replacement;

  private boolean taking;
  private boolean attaching;
  private boolean standing;
  private long heardTerm;
  private boolean yielding;
  private Runnable onLeadershipChange = () -> {};
  private Runnable leaseEndedEarly = () -> {};
  private Duration refreshed;
  private EventLoop.Timer timer;
  private EventLoop.Timer retry;
  private EventLoop.Timer candidacy;

  public Election(
      EventLoop loop,
      StateStoreClient client,
      RateLimiter rateLimiter,
      ClusterRecords replica,
      RandomGenerator random,
      Timings timings,
      String node,
      String instance,
      Reachability reachability) {
    this.loop = loop;
    this.client = client;
    this.rateLimiter = rateLimiter;
    this.replica = replica;
    this.random = random;
    this.timings = timings;
    this.node = node;
    this.instance = instance;
    this.reachability = reachability;
  }

  /** Called when leadership may have changed. */
  public void onLeadershipChange(Runnable listener) {
    onLeadershipChange = listener;
    replica.onChange(this::observe);
  }

  /** Called when the service has forgotten a lease that was renewed in time. */
  public void onPrematureLeaseExpiry(Runnable listener) {
    leaseEndedEarly = listener;
  }

  @Override
  public void start() {
    tick();
  }

  @Override
  public void stop() {
    for (EventLoop.Timer each : new EventLoop.Timer[] {timer, retry, candidacy}) {
      if (each != null) {
        each.cancel();
      }
    }
    drop(lease);
    drop(replacement);
    lease = null;
    replacement = null;
  }

  /** Ends a lease that nothing rests on any more. */
  private void drop(StateStoreLease old) {
    if (old != null) {
      rateLimiter.forceAcquire(0);
      client.revokeLease(old.id()).exceptionally(failure -> null);
    }
  }

  /** The highest term that this node has heard of. */
  public long knownTerm() {
    return Math.max(replica.term(), heardTerm);
  }

  /** Word of a term from a worker or another node: a leader of a lower one stops at once. */
  public void observeTerm(long term) {
    if (term > heardTerm) {
      heardTerm = term;
      if (replica.term() < term) {
        replica.refresh().exceptionally(failure -> null);
        onLeadershipChange.run();
      }
    }
  }

  /** Whether the replica names this process as the leader, by a lease that it still holds. */
  public boolean isLeader() {
    Records.Leader leader = replica.leader();
    return leader != null
        && replica.isLoaded()
        && leader.processId().equals(instance)
        && (isUnder(leader, lease) || isUnder(leader, replacement))
        && leader.term() == replica.term()
        && leader.term() >= heardTerm;
  }

  private static boolean isUnder(Records.Leader leader, StateStoreLease held) {
    return held != null && leader.leaseId() == held.id();
  }

  /**
   * Whether a leader may act for the controllers now. Counted from the sending of the last renewal
   * that was confirmed, and of the last reading, so that it misses no cancel for longer than that.
   */
  public boolean mayCommandWorkers() {
    return isLeader()
        && fresh(lease.lastRenewalSentAt())
        && (replacement == null || fresh(replacement.lastRenewalSentAt()))
        && fresh(replica.lastConfirmedAt());
  }

  /** Whether the lease surely still holds, so that there can be no other leader. */
  public boolean mayChangeFleet() {
    Duration now = loop.now();
    return isLeader()
        && lease.isValidAt(now)
        && (replacement == null || replacement.isValidAt(now));
  }

  private boolean fresh(Duration since) {
    return since != null && loop.now().minus(since).compareTo(timings.authority()) < 0;
  }

  /**
   * Makes way for a node that workers reach better. The record only sets the order in which the
   * nodes stand, and whoever stands first is elected as ever. The lease ends whatever comes of it.
   */
  public void handOverTo(String successor) {
    if (!isLeader() || yielding) {
      return;
    }
    yielding = true;
    StateStoreLease held = lease;
    Records.Successor record =
        new Records.Successor(replica.term(), /* node= */ successor, /* predecessor= */ node);
    rateLimiter.forceAcquire(1);
    client
        .commit(
            Map.of(Records.TERM, replica.termVersion()),
            List.of(
                new StateStoreProtocol.Change(
                    Records.SUCCESSOR, Records.encodeSuccessor(record), 0)))
        .whenComplete(
            (result, failure) -> {
              yielding = false;
              if (lease == held) {
                StateStoreLease other = replacement;
                lease = null;
                replacement = null;
                onLeadershipChange.run();
                drop(held);
                drop(other);
              }
            });
  }

  /** How long to wait before standing, by what is known of this node's links and of the others'. */
  private Duration candidacyDelay() {
    Optional<NodeView.Handover> handover =
        Optional.ofNullable(replica.successor())
            .map(record -> new NodeView.Handover(record.node(), record.predecessor()));
    return reachability.candidacyDelay(loop.now(), handover);
  }

  private void tick() {
    int renewals = isLeader() ? LEADER_RENEWALS : RENEWALS;
    timer = loop.schedule(Durations.divide(timings.stateStoreLease(), renewals), this::tick);
    keepLeases();
    refresh();
    observe();
  }

  private void refresh() {
    Duration now = loop.now();
    Duration period = Durations.divide(timings.stateStoreLease(), RENEWALS);
    if (refreshed == null || now.minus(refreshed).compareTo(period) >= 0) {
      refreshed = now;
      replica.refresh().exceptionally(failure -> null);
    }
  }

  private void keepLeases() {
    if (retry != null) {
      retry.cancel();
      retry = null;
    }
    if (lease == null) {
      take();
      return;
    }
    renew(lease);
    if (replacement != null) {
      renew(replacement);
      attach();
    } else {
      adjustLength();
    }
  }

  /** Tries again soon, while this node's share of the service's requests lasts. */
  private void retrySoon() {
    if (retry == null && rateLimiter.mayWrite(RateLimiter.WriteClass.CANCEL, 0, 0)) {
      retry =
          loop.schedule(
              Durations.divide(timings.stateStoreLease(), RETRY_PART),
              () -> {
                retry = null;
                keepLeases();
              });
    }
  }

  private void take() {
    if (taking) {
      return;
    }
    Duration sent = loop.now();
    taking = true;
    rateLimiter.forceAcquire(0);
    client
        .grantLease(timings.stateStoreLease())
        .whenComplete(
            (id, failure) -> {
              taking = false;
              if (failure == null) {
                lease = new StateStoreLease(id, timings.stateStoreLease(), sent);
                observe();
              }
            });
  }

  private void renew(StateStoreLease held) {
    if (held.isRenewing()) {
      return;
    }
    Duration sent = loop.now();
    held.beginRenewal();
    rateLimiter.forceAcquire(0);
    client
        .renewLease(held.id())
        .whenComplete(
            (nothing, failure) -> {
              held.endRenewal();
              if (failure == null) {
                held.confirmRenewal(sent);
              } else if (StateStoreException.kindOf(failure) == StateStoreException.Kind.GONE) {
                gone(held);
              } else if (held == lease || held == replacement) {
                retrySoon();
              }
            });
  }

  private void gone(StateStoreLease held) {
    if (held == replacement) {
      replacement = null;
      onLeadershipChange.run();
    } else if (held == lease) {
      LOG.info("lease {} ran out", held.id());
      if (held.isValidAt(loop.now())) {
        // Leases never end early, so that the service does not know of its renewal.
        leaseEndedEarly.run();
      }
      lease = replacement;
      replacement = null;
      onLeadershipChange.run();
      if (lease == null) {
        take();
      }
    }
  }

  /** A leader whose lease should be longer or shorter now takes another. */
  private void adjustLength() {
    Duration wanted = reachability.leaseLength(loop.now());
    if (taking || yielding || !mayChangeFleet() || wanted.equals(lease.length())) {
      return;
    }
    Duration sent = loop.now();
    StateStoreLease held = lease;
    taking = true;
    rateLimiter.forceAcquire(0);
    client
        .grantLease(wanted)
        .whenComplete(
            (id, failure) -> {
              taking = false;
              if (failure == null) {
                StateStoreLease taken = new StateStoreLease(id, wanted, sent);
                if (lease == held && isLeader()) {
                  replacement = taken;
                  attach();
                } else {
                  drop(taken);
                }
              }
            });
  }

  /**
   * Puts the leader's record under the replacement. The transaction names the record's version, so
   * that it is sent unchanged until its outcome is known: the record is then seen under the
   * replacement, or the replacement is gone and no copy can be applied any more.
   */
  private void attach() {
    if (attaching || yielding || !isLeader()) {
      return;
    }
    attaching = true;
    StateStoreLease next = replacement;
    Map<String, Long> conditions = new LinkedHashMap<>();
    conditions.put(Records.LEADER, replica.leaderVersion());
    conditions.put(Records.TERM, replica.termVersion());
    Records.Leader record = new Records.Leader(replica.term(), node, instance, next.id());
    rateLimiter.forceAcquire(1);
    client
        .commit(
            conditions,
            List.of(
                new StateStoreProtocol.Change(
                    Records.LEADER, Records.encodeLeader(record), next.id())))
        .whenComplete(
            (result, failure) -> {
              attaching = false;
              if (failure != null
                  && StateStoreException.kindOf(failure) == StateStoreException.Kind.INVALID_REQUEST
                  && replacement == next) {
                replacement = null;
              }
              replica.refresh().exceptionally(again -> null);
            });
  }

  /** The record is under the replacement, so that the old lease is not needed any more. */
  private void adopt(Records.Leader leader) {
    if (leader.processId().equals(instance) && isUnder(leader, replacement)) {
      LOG.info("the lease is {} ms long now", replacement.length().toMillis());
      StateStoreLease old = lease;
      lease = replacement;
      replacement = null;
      drop(old);
    }
  }

  private void observe() {
    onLeadershipChange.run();
    Records.Leader leader = replica.leader();
    if (leader != null && replica.isLoaded()) {
      adopt(leader);
    }
    if (!replica.isLoaded() || lease == null || standing || candidacy != null) {
      return;
    }
    if (leader == null) {
      long wait = random.nextLong(Math.max(1, timings.stateStoreLease().toMillis() / 20));
      candidacy = loop.schedule(candidacyDelay().plusMillis(wait), this::stand);
    } else if (leader.node().equals(node) && !leader.processId().equals(instance)) {
      // The process that held this lease has ended, since this one runs in its place.
      LOG.info("ending lease {} of an earlier process of this node", leader.leaseId());
      standing = true;
      rateLimiter.forceAcquire(0);
      client.revokeLease(leader.leaseId()).whenComplete((nothing, failure) -> settled());
    }
  }

  private void stand() {
    candidacy = null;
    if (!replica.isLoaded() || lease == null || replica.leader() != null) {
      return;
    }
    standing = true;
    StateStoreLease held = lease;
    // After records were lost, workers and other nodes may know of higher terms than the records
    // do.
    long term = Math.max(replica.term(), heardTerm) + 1;
    Map<String, Long> conditions = new LinkedHashMap<>();
    conditions.put(Records.LEADER, 0L);
    conditions.put(Records.TERM, replica.termVersion());
    rateLimiter.forceAcquire(2);
    LOG.info("standing for leader in term {}", term);
    client
        .commit(
            conditions,
            List.of(
                new StateStoreProtocol.Change(Records.TERM, Records.encodeTerm(term), 0),
                new StateStoreProtocol.Change(
                    Records.LEADER,
                    Records.encodeLeader(new Records.Leader(term, node, instance, held.id())),
                    held.id())))
        .whenComplete(
            (result, failure) -> {
              if (failure != null
                  && StateStoreException.kindOf(failure) == StateStoreException.Kind.INVALID_REQUEST
                  && lease == held) {
                lease = null;
              }
              settled();
            });
  }

  /** Whatever the answer was, the records tell the outcome. */
  private void settled() {
    replica
        .refresh()
        .whenComplete(
            (nothing, failure) -> {
              standing = false;
              onLeadershipChange.run();
            });
  }
}
