package io.cherryspool.controller;

import io.cherryspool.lifecycle.EventLoop;
import io.cherryspool.lifecycle.Lifecycle;
import io.cherryspool.model.Durations;
import io.cherryspool.store.RateLimiter;
import io.cherryspool.store.Records;
import io.cherryspool.store.Replica;
import io.cherryspool.store.StateClient;
import io.cherryspool.store.StateException;
import io.cherryspool.wire.StateWire;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
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

  private final EventLoop loop;
  private final StateClient client;
  private final RateLimiter rateLimiter;
  private final Replica replica;
  private final RandomGenerator random;
  private final Timings timings;
  private final String node;
  private final String instance;
  private long lease;
  private Duration renewed;
  private boolean renewing;
  private boolean standing;
  private long heardTerm;
  private boolean yielding;
  private Runnable onChange = () -> {};
  private Runnable leaseEndedEarly = () -> {};
  private EventLoop.Timer timer;
  private EventLoop.Timer candidacy;

  public Election(
      EventLoop loop,
      StateClient client,
      RateLimiter rateLimiter,
      Replica replica,
      RandomGenerator random,
      Timings timings,
      String node,
      String instance) {
    this.loop = loop;
    this.client = client;
    this.rateLimiter = rateLimiter;
    this.replica = replica;
    this.random = random;
    this.timings = timings;
    this.node = node;
    this.instance = instance;
  }

  /** Called when leadership may have changed. */
  public void onChange(Runnable listener) {
    onChange = listener;
    replica.onChange(this::observe);
  }

  /** Called when the service has forgotten a lease that was renewed in time. */
  void onLeaseEndedEarly(Runnable listener) {
    leaseEndedEarly = listener;
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
    if (candidacy != null) {
      candidacy.cancel();
    }
    if (lease != 0) {
      client.end(lease);
      lease = 0;
    }
  }

  /** The highest term that this node has heard of. */
  long knownTerm() {
    return Math.max(replica.term(), heardTerm);
  }

  /** Word of a term from a worker or another node: a leader of a lower one stops at once. */
  public void hear(long term) {
    if (term > heardTerm) {
      heardTerm = term;
      if (replica.term() < term) {
        replica.refresh().exceptionally(failure -> null);
        onChange.run();
      }
    }
  }

  /** Whether the replica names this process as the leader, by a lease that it still holds. */
  public boolean leading() {
    Records.Leader leader = replica.leader();
    return leader != null
        && replica.loaded()
        && leader.instance().equals(instance)
        && leader.lease() == lease
        && leader.term() == replica.term()
        && leader.term() >= heardTerm;
  }

  /**
   * Whether a leader may act for the controllers now. Counted from the sending of the last renewal
   * that was confirmed, and of the last reading, so that it misses no cancel for longer than that.
   */
  public boolean authorized() {
    return leading() && fresh(renewed) && fresh(replica.confirmed());
  }

  /** Whether the lease surely still holds, so that there can be no other leader. */
  public boolean sole() {
    return leading() && within(renewed, timings.stateLease());
  }

  private boolean fresh(Duration since) {
    return within(since, timings.authority());
  }

  private boolean within(Duration since, Duration limit) {
    return since != null && loop.now().minus(since).compareTo(limit) < 0;
  }

  /**
   * Makes way for a node that workers reach better. The record only sets the order in which the
   * nodes stand, and whoever stands first is elected as ever. The lease ends whatever comes of it.
   */
  public void yieldTo(String successor) {
    if (!leading() || yielding) {
      return;
    }
    yielding = true;
    long held = lease;
    Records.Successor record = new Records.Successor(replica.term(), successor, node);
    rateLimiter.force(1);
    client
        .commit(
            Map.of(Records.TERM, replica.termVersion()),
            List.of(new StateWire.Change(Records.SUCCESSOR, Records.successor(record), 0)))
        .whenComplete(
            (result, failure) -> {
              yielding = false;
              if (lease == held) {
                lease = 0;
                onChange.run();
                rateLimiter.force(0);
                client.end(held).exceptionally(again -> null);
              }
            });
  }

  /** How long to wait before standing: the successor first, and who made way for it last. */
  private Duration reserve() {
    Records.Successor successor = replica.successor();
    if (successor == null || successor.node().equals(node)) {
      return Duration.ZERO;
    }
    return Durations.part(timings.stateLease(), successor.by().equals(node) ? 1 : 4);
  }

  private void tick() {
    timer = loop.schedule(Durations.part(timings.stateLease(), 4), this::tick);
    if (!renewing) {
      if (lease == 0) {
        take();
      } else {
        renew();
      }
    }
    replica.refresh().exceptionally(failure -> null);
    observe();
  }

  private void take() {
    Duration sent = loop.now();
    renewing = true;
    rateLimiter.force(0);
    client
        .lease(timings.stateLease())
        .whenComplete(
            (id, failure) -> {
              renewing = false;
              if (failure == null) {
                lease = id;
                renewed = sent;
                observe();
              }
            });
  }

  private void renew() {
    Duration sent = loop.now();
    long held = lease;
    renewing = true;
    rateLimiter.force(0);
    client
        .extend(held)
        .whenComplete(
            (nothing, failure) -> {
              renewing = false;
              if (failure == null) {
                renewed = sent;
              } else if (StateException.kindOf(failure) == StateException.Kind.GONE
                  && lease == held) {
                LOG.info("lease {} ran out", held);
                if (within(renewed, timings.stateLease())) {
                  // Leases never end early, so that the service does not know of its renewal.
                  leaseEndedEarly.run();
                }
                lease = 0;
                onChange.run();
                take();
              }
            });
  }

  private void observe() {
    onChange.run();
    if (!replica.loaded() || lease == 0 || standing || candidacy != null) {
      return;
    }
    Records.Leader leader = replica.leader();
    if (leader == null) {
      long wait = random.nextLong(Math.max(1, timings.stateLease().toMillis() / 20));
      candidacy = loop.schedule(reserve().plusMillis(wait), this::stand);
    } else if (leader.node().equals(node) && !leader.instance().equals(instance)) {
      // The process that held this lease has ended, since this one runs in its place.
      LOG.info("ending lease {} of an earlier process of this node", leader.lease());
      standing = true;
      rateLimiter.force(0);
      client.end(leader.lease()).whenComplete((nothing, failure) -> settled());
    }
  }

  private void stand() {
    candidacy = null;
    if (!replica.loaded() || lease == 0 || replica.leader() != null) {
      return;
    }
    standing = true;
    // After records were lost, workers and other nodes may know of higher terms than the records
    // do.
    long term = Math.max(replica.term(), heardTerm) + 1;
    Map<String, Long> conditions = new LinkedHashMap<>();
    conditions.put(Records.LEADER, 0L);
    conditions.put(Records.TERM, replica.termVersion());
    rateLimiter.force(2);
    LOG.info("standing for leader in term {}", term);
    client
        .commit(
            conditions,
            List.of(
                new StateWire.Change(Records.TERM, Records.term(term), 0),
                new StateWire.Change(
                    Records.LEADER,
                    Records.leader(new Records.Leader(term, node, instance, lease)),
                    lease)))
        .whenComplete(
            (result, failure) -> {
              if (failure != null
                  && StateException.kindOf(failure) == StateException.Kind.REJECTED) {
                lease = 0;
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
              onChange.run();
            });
  }
}
