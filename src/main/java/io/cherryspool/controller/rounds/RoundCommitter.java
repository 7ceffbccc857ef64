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
 * Commits a round in a few transactions, each of them conditional on the leader's term. A
 * transaction that gets no answer is resent until the state store answers, so that the outcome of
 * the whole round is known before the next one is planned. Since all copies have the same
 * conditions, only the first that arrives can be applied.
 *
 * <p>Used on the event loop only.
 */
public final class RoundCommitter {
  private static final Logger LOG = LoggerFactory.getLogger(RoundCommitter.class);
  private static final Duration RETRY_DELAY = Duration.ofMillis(300);

  /**
   * Number of conditions that every transaction has: on the term, and on the incarnation of the
   * records.
   */
  static final int RESERVED_CONDITIONS = 2;

  /**
   * The state store's limit on the conditions of a transaction, as a multiple of its limit on the
   * changes.
   */
  static final int MAX_CONDITIONS_PER_CHANGE = 4;

  private final EventLoop loop;
  private final StateStoreClient client;
  private final RateLimiter rateLimiter;
  private final int maxChanges;
  private final long termVersion;
  private boolean isStopped;

  /**
   * Creates a committer for the rounds of one term.
   *
   * @param maxChanges the maximum number of changes in a transaction of the state store
   * @param termVersion the version of the term's record, on which every transaction is conditional
   */
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

  /** Stops sending transactions and reporting outcomes, because the term has ended. */
  public void stop() {
    isStopped = true;
  }

  /**
   * Sends as many change sets as the rate limit allows, in order.
   *
   * @param onOutcomesKnown runs once the outcomes of all sent transactions are known, whether they
   *     were applied or not; does not run if nothing was sent
   * @return the number of change sets that were sent
   */
  int commit(List<ChangeSet> changeSets, Runnable onOutcomesKnown) {
    List<Transaction> transactions = new ArrayList<>();
    Transaction current = new Transaction();
    int sentCount = 0;
    for (ChangeSet next : changeSets) {
      if (!current.isEmpty() && !current.hasRoomFor(next)) {
        rateLimiter.forceAcquire(current.changes.size());
        current = new Transaction();
      }
      // Sends the changes that the rate limit allows now. Waiting until a transaction of the
      // maximum size is allowed would delay the starts of tasks.
      if (!rateLimiter.mayWrite(next.writeClass(), current.changes.size(), next.changes().size())) {
        break;
      }
      if (current.isEmpty()) {
        transactions.add(current);
      }
      current.add(next);
      sentCount++;
    }
    if (!current.isEmpty()) {
      rateLimiter.forceAcquire(current.changes.size());
    }
    PendingRound round = new PendingRound(transactions.size(), onOutcomesKnown);
    for (Transaction transaction : transactions) {
      send(transaction, false, round);
    }
    return sentCount;
  }

  /**
   * Sends the transaction, and resends it until its outcome is known.
   *
   * @param hasUnansweredCopy whether an earlier copy got no answer. If so, the refusal of a later
   *     copy does not make the outcome known: the earlier copy may still be applied seconds later,
   *     and a round planned in between would assign the same room and the same part of a team's
   *     quota again.
   */
  private void send(Transaction transaction, boolean hasUnansweredCopy, PendingRound round) {
    if (isStopped) {
      return;
    }
    client
        .commit(transaction.conditions, transaction.changes)
        .whenComplete(
            (result, failure) -> {
              StateStoreException.Kind kind =
                  failure == null ? null : StateStoreException.kindOf(failure);
              boolean isRefused =
                  kind == StateStoreException.Kind.RATE_LIMITED
                      || kind == StateStoreException.Kind.NOT_EXECUTED;
              if (kind == StateStoreException.Kind.RATE_LIMITED) {
                rateLimiter.drain();
              }
              if (kind == StateStoreException.Kind.OUTCOME_UNKNOWN
                  || (hasUnansweredCopy && isRefused)) {
                loop.schedule(RETRY_DELAY, () -> resend(transaction, round));
                return;
              }
              if (kind != null && !isRefused) {
                LOG.error(
                    "the state store rejected a transaction of the round: {}", failure.toString());
              } else if (kind == null && !result.isApplied()) {
                LOG.debug(
                    "a transaction of the round was not applied; conditions failed on keys={}",
                    result.failedKeys());
              }
              round.onTransactionOutcomeKnown();
            });
  }

  private void resend(Transaction transaction, PendingRound round) {
    rateLimiter.forceAcquire(transaction.changes.size());
    send(transaction, true, round);
  }

  /** Change sets that are committed in one transaction, within the limits of the state store. */
  private final class Transaction {
    private final Map<String, Long> conditions = new LinkedHashMap<>();
    private final List<StateStoreProtocol.Change> changes = new ArrayList<>();

    /**
     * An upper bound on the number of conditions: a key that occurs in several change sets is
     * counted for each of them.
     */
    private int conditionCount = RESERVED_CONDITIONS;

    private int bytes;

    Transaction() {
      conditions.put(Records.TERM, termVersion);
    }

    boolean isEmpty() {
      return changes.isEmpty();
    }

    boolean hasRoomFor(ChangeSet next) {
      return changes.size() + next.changes().size() <= maxChanges
          && conditionCount + next.conditions().size() <= MAX_CONDITIONS_PER_CHANGE * maxChanges
          && bytes + sizeInBytes(next) <= StateStoreProtocol.MAX_TRANSACTION_VALUE_BYTES;
    }

    void add(ChangeSet next) {
      conditions.putAll(next.conditions());
      changes.addAll(next.changes());
      conditionCount += next.conditions().size();
      bytes += sizeInBytes(next);
    }

    private static int sizeInBytes(ChangeSet changeSet) {
      return changeSet.bytes()
          + StateStoreProtocol.CHANGE_OVERHEAD_BYTES * changeSet.changes().size();
    }
  }

  /** A round with transactions whose outcome is not known yet. */
  private final class PendingRound {
    private final Runnable onOutcomesKnown;
    private int unknownOutcomes;

    PendingRound(int transactionCount, Runnable onOutcomesKnown) {
      this.unknownOutcomes = transactionCount;
      this.onOutcomesKnown = onOutcomesKnown;
    }

    void onTransactionOutcomeKnown() {
      unknownOutcomes--;
      if (unknownOutcomes == 0 && !isStopped) {
        onOutcomesKnown.run();
      }
    }
  }
}
