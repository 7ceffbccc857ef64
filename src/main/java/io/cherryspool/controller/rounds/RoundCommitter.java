package io.cherryspool.controller.rounds;

import io.cherryspool.lifecycle.EventLoop;
import io.cherryspool.store.RateLimiter;
import io.cherryspool.store.Records;
import io.cherryspool.store.StateStoreClient;
import io.cherryspool.store.StateStoreException;
import io.cherryspool.wire.StateStoreProtocol;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Commits a round in a few transactions, each conditional on the leader's term. A transaction
 * without an answer is sent again until there is one: with the same conditions it can be applied
 * only once, whichever copy comes first, so nothing of the round is left open behind it.
 */
public final class RoundCommitter {
  private static final Logger LOG = LoggerFactory.getLogger(RoundCommitter.class);
  private static final Duration AGAIN = Duration.ofMillis(300);

  /** On the term, and on the incarnation of the records. */
  static final int RESERVED_CONDITIONS = 2;

  /** A transaction may have so many times as many conditions as changes, all counted. */
  static final int MAX_CONDITIONS_PER_CHANGE = 4;

  private final EventLoop loop;
  private final StateStoreClient client;
  private final RateLimiter rateLimiter;
  private final int maxChanges;
  private final long termVersion;
  private boolean stopped;

  /** Changes that are committed together or not at all; {@code bytes} is what their values take. */
  record ChangeSet(
      Map<String, Long> conditions,
      List<StateStoreProtocol.Change> changes,
      int bytes,
      RateLimiter.WriteClass use) {}

  public RoundCommitter(
      EventLoop loop,
      StateStoreClient client,
      RateLimiter rateLimiter,
      int maxChanges,
      long termVersion) {
    this.loop = loop;
    this.client = client;
    this.rateLimiter = rateLimiter;
    this.maxChanges = maxChanges;
    this.termVersion = termVersion;
  }

  void stop() {
    stopped = true;
  }

  /**
   * Sends as many units as the rate limit allows, in order. Returns how many; {@code done} runs
   * when all of their outcomes are certain, and not at all when none was sent.
   */
  int commit(List<ChangeSet> units, Runnable done) {
    List<List<ChangeSet>> transactions = new ArrayList<>();
    List<ChangeSet> batch = new ArrayList<>();
    int changes = 0;
    int conditions = RESERVED_CONDITIONS;
    int bytes = 0;
    int taken = 0;
    for (ChangeSet unit : units) {
      int count = unit.changes.size();
      int size = unit.bytes + StateStoreProtocol.CHANGE_OVERHEAD_BYTES * count;
      boolean full =
          changes + count > maxChanges
              || conditions + unit.conditions.size() > MAX_CONDITIONS_PER_CHANGE * maxChanges
              || bytes + size > StateStoreProtocol.MAX_TRANSACTION_VALUE_BYTES;
      if (full && !batch.isEmpty()) {
        rateLimiter.forceAcquire(changes);
        batch = new ArrayList<>();
        changes = 0;
        conditions = RESERVED_CONDITIONS;
        bytes = 0;
      }
      // As many as may go now, and not a batch of the largest size later: starts wait for it.
      if (!rateLimiter.mayWrite(unit.use, changes, count)) {
        break;
      }
      if (batch.isEmpty()) {
        transactions.add(batch);
      }
      batch.add(unit);
      changes += count;
      conditions += unit.conditions.size();
      bytes += size;
      taken++;
    }
    if (!batch.isEmpty()) {
      rateLimiter.forceAcquire(changes);
    }
    int[] open = {transactions.size()};
    for (List<ChangeSet> transaction : transactions) {
      Map<String, Long> named = new LinkedHashMap<>();
      List<StateStoreProtocol.Change> all = new ArrayList<>();
      named.put(Records.TERM, termVersion);
      for (ChangeSet unit : transaction) {
        named.putAll(unit.conditions);
        all.addAll(unit.changes);
      }
      send(
          named,
          all,
          false,
          () -> {
            if (--open[0] == 0 && !stopped) {
              done.run();
            }
          });
    }
    return taken;
  }

  /**
   * Once a copy had no answer, {@code open}, only an answer settles the transaction. That a later
   * copy was refused says nothing of the ones before, which may be carried out seconds later: a
   * round planned meanwhile would give the same room, and the same part of a team's limit, again.
   */
  private void send(
      Map<String, Long> conditions,
      List<StateStoreProtocol.Change> changes,
      boolean open,
      Runnable certain) {
    if (stopped) {
      return;
    }
    client
        .commit(conditions, changes)
        .whenComplete(
            (result, failure) -> {
              StateStoreException.Kind kind =
                  failure == null ? null : StateStoreException.kindOf(failure);
              boolean refused =
                  kind == StateStoreException.Kind.RATE_LIMITED
                      || kind == StateStoreException.Kind.NOT_EXECUTED;
              if (kind == StateStoreException.Kind.RATE_LIMITED) {
                rateLimiter.drain();
              }
              if (kind == StateStoreException.Kind.OUTCOME_UNKNOWN || open && refused) {
                loop.schedule(
                    AGAIN,
                    () -> {
                      rateLimiter.forceAcquire(changes.size());
                      send(conditions, changes, true, certain);
                    });
                return;
              }
              if (kind != null && !refused) {
                LOG.error("the state service rejects a round: {}", failure.toString());
              } else if (kind == null && !result.applied()) {
                LOG.debug("a round's transaction was overtaken: {}", result.failed());
              }
              certain.run();
            });
  }
}
