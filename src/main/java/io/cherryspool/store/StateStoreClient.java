package io.cherryspool.store;

import com.fasterxml.jackson.databind.JsonNode;
import io.cherryspool.http.Endpoint;
import io.cherryspool.http.Reply;
import io.cherryspool.http.Request;
import io.cherryspool.http.Transport;
import io.cherryspool.lifecycle.EventLoop;
import io.cherryspool.wire.Json;
import io.cherryspool.wire.MalformedMessageException;
import io.cherryspool.wire.StateStoreProtocol;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

/**
 * Client of the state store. Each future fails with a {@link StateStoreException} or with an
 * exception that wraps one; {@link StateStoreException#kindOf} handles both.
 *
 * <p>A request fails with {@code OUTCOME_UNKNOWN} if its answer does not continue the history that
 * the {@link RollbackDetector} knows, or if it arrives after another incarnation was entered. The
 * client does not delay requests to respect the rate limits; callers must acquire them from the
 * {@link RateLimiter} first.
 */
public final class StateStoreClient {
  /** A transaction without an answer is sent again after its deadline divided by this number. */
  private static final int HEDGE_DIVISOR = 4;

  /** The maximum number of keys in one page. */
  private static final int MAX_PAGE_KEYS = 1000;

  private static final int OK = 200;
  private static final int CONFLICT = 409;

  private final EventLoop loop;
  private final RateLimiter rateLimiter;
  private final Transport transport;
  private final Endpoint service;
  private final Duration deadline;
  private final KeySpace keySpace = new KeySpace();
  private RollbackDetector detector = RollbackDetector.DISABLED;

  /**
   * Creates a client without rollback detection.
   *
   * @param rateLimiter limits and counts the second copies of transactions
   * @param deadline the time after which a request without an answer fails
   */
  public StateStoreClient(
      EventLoop loop,
      RateLimiter rateLimiter,
      Transport transport,
      Endpoint service,
      Duration deadline) {
    this.loop = loop;
    this.rateLimiter = rateLimiter;
    this.transport = transport;
    this.service = service;
    this.deadline = deadline;
  }

  /** Sets the detector that checks the answers from now on. */
  public void setRollbackDetector(RollbackDetector rollbackDetector) {
    detector = rollbackDetector;
  }

  /** The key space that maps the keys of this client's transactions. */
  public KeySpace keySpace() {
    return keySpace;
  }

  /**
   * The result of a transaction.
   *
   * @param isApplied whether the transaction was applied; if not, a condition failed
   * @param failedKeys the keys whose conditions failed, empty if the transaction was applied
   * @param revision the revision at which the transaction was applied or rejected
   */
  public record CommitResult(boolean isApplied, Set<String> failedKeys, long revision) {}

  /**
   * Sends a compare-and-swap transaction with logical keys, fenced by the current incarnation if
   * there is one. The transaction may be sent twice, see {@link HedgedTransaction}. If only the
   * answer to the second copy arrives, the result says that conditions failed even if the first
   * copy was applied; callers must then read the records to find out.
   *
   * @param conditions the version that each key must have, 0 for a key that must not exist
   */
  public CompletableFuture<CommitResult> commit(
      Map<String, Long> conditions, List<StateStoreProtocol.Change> changes) {
    if (!keySpace.isFenced()) {
      return commitUnfenced(conditions, changes);
    }
    long minimum = detector.minimumRevision();
    Incarnation incarnationAtSending = keySpace.incarnation();
    return sendHedged(keySpace.fencedTransaction(conditions, changes), changes.size())
        .thenApply(result -> verify(result, minimum, incarnationAtSending, changes));
  }

  /**
   * Sends a transaction with physical keys and without a fence. A rebuild uses it to write the
   * records of the next incarnation.
   */
  public CompletableFuture<CommitResult> commitUnfenced(
      Map<String, Long> conditions, List<StateStoreProtocol.Change> changes) {
    return sendHedged(StateStoreProtocol.transactionRequest(conditions, changes), changes.size());
  }

  private CompletableFuture<CommitResult> sendHedged(Request request, int changeCount) {
    return new HedgedTransaction(this, rateLimiter, request, changeCount)
        .send(loop, deadline.dividedBy(HEDGE_DIVISOR));
  }

  /**
   * Checks the answer to a transaction. An answer from another history, or to a transaction of an
   * earlier incarnation, must not reach a user, because the applied changes may have been lost
   * since.
   */
  private CommitResult verify(
      CommitResult result,
      long minimum,
      Incarnation incarnationAtSending,
      List<StateStoreProtocol.Change> changes) {
    if (keySpace.incarnation() != incarnationAtSending) {
      throw differentHistory();
    }
    boolean isOfKnownHistory =
        detector.verifyRevision(result.isApplied() ? minimum + 1 : minimum, result.revision());
    if (result.failedKeys().contains(Incarnation.KEY)) {
      detector.onIncarnationChanged();
      isOfKnownHistory = false;
    }
    if (!isOfKnownHistory) {
      throw differentHistory();
    }
    if (result.isApplied()) {
      detector.onCommitApplied(changes, result.revision());
      return result;
    }
    Set<String> failed = new HashSet<>();
    result.failedKeys().forEach(key -> failed.add(keySpace.toLogicalKey(key)));
    return new CommitResult(false, failed, result.revision());
  }

  /** Sends one copy of a transaction. */
  CompletableFuture<CommitResult> sendTransaction(Request request) {
    return transport
        .send(service, request, deadline)
        .handle(
            (reply, failure) -> {
              JsonNode body = readBody(reply, failure, CONFLICT);
              try {
                long revision = StateStoreProtocol.parseRevision(body);
                return reply.status() == OK
                    ? new CommitResult(true, Set.of(), revision)
                    : new CommitResult(false, StateStoreProtocol.parseFailedKeys(body), revision);
              } catch (MalformedMessageException e) {
                throw outcomeUnknown(e.getMessage());
              }
            });
  }

  /**
   * Reads one page of physical keys, which may belong to any incarnation.
   *
   * @param after the last key of the previous page, null for the first page
   */
  public CompletableFuture<StateStoreProtocol.KeyPage> listKeys(String prefix, String after) {
    long minimum = detector.minimumRevision();
    Incarnation incarnationAtSending = keySpace.incarnation();
    return call(
            StateStoreProtocol.listRequest(prefix, after, MAX_PAGE_KEYS),
            deadline,
            StateStoreProtocol::parsePage)
        .thenApply(page -> verify(page, incarnationAtSending, minimum, page.revision()));
  }

  /**
   * The result of a read of the identity record.
   *
   * @param incarnation the decoded record, null if there is none
   * @param version the record's version, 0 if there is none
   * @param revision the revision of the state store at which the record was read
   */
  public record IncarnationReading(Incarnation incarnation, long version, long revision) {}

  /** Reads the identity record. */
  public CompletableFuture<IncarnationReading> readIncarnation() {
    return listKeys(Incarnation.KEY, null)
        .thenApply(
            page -> {
              if (page.entries().isEmpty()) {
                return new IncarnationReading(null, 0, page.revision());
              }
              StateStoreProtocol.Event found = page.entries().get(0);
              Incarnation incarnation = Incarnation.decode(found.value());
              return new IncarnationReading(incarnation, found.version(), page.revision());
            });
  }

  private <T> T verify(T answer, Incarnation incarnationAtSending, long minimum, long revision) {
    if (keySpace.incarnation() != incarnationAtSending
        || !detector.verifyRevision(minimum, revision)) {
      throw differentHistory();
    }
    return answer;
  }

  /**
   * Reads the changes of physical keys after a revision. Fails with {@code GONE} if the state store
   * has compacted that part of its history.
   *
   * @param maxWait how long the state store waits for a change before it answers without changes
   */
  public CompletableFuture<StateStoreProtocol.WatchResult> readChanges(
      String prefix, long afterRevision, Duration maxWait) {
    long minimum = detector.minimumRevision();
    Incarnation incarnationAtSending = keySpace.incarnation();
    return call(
            StateStoreProtocol.watchRequest(prefix, afterRevision, maxWait),
            deadline.plus(maxWait),
            StateStoreProtocol::parseChanges)
        .thenApply(changes -> verify(changes, incarnationAtSending, minimum, changes.revision()));
  }

  /** Requests a lease. The future completes with the id of the lease. */
  public CompletableFuture<Long> grantLease(Duration timeToLive) {
    return call(
        StateStoreProtocol.grantLeaseRequest(timeToLive),
        deadline,
        StateStoreProtocol::parseLeaseId);
  }

  /** Renews a lease for its time to live. Fails with {@code GONE} if the lease has expired. */
  public CompletableFuture<Void> renewLease(long leaseId) {
    return call(StateStoreProtocol.renewLeaseRequest(leaseId), deadline, body -> null);
  }

  /** Ends a lease. The state store then deletes the keys that are attached to it. */
  public CompletableFuture<Void> revokeLease(long leaseId) {
    return call(StateStoreProtocol.revokeLeaseRequest(leaseId), deadline, body -> null);
  }

  private <T> CompletableFuture<T> call(Request request, Duration timeout, Parser<T> parser) {
    return transport
        .send(service, request, timeout)
        .handle(
            (reply, failure) -> {
              JsonNode body = readBody(reply, failure, OK);
              try {
                return parser.parse(body);
              } catch (MalformedMessageException e) {
                throw outcomeUnknown(e.getMessage());
              }
            });
  }

  /**
   * Reads the body of an answer, or throws an exception that says what is known about the effect of
   * a failed request.
   *
   * @param acceptedStatus a status in addition to 200 whose body is an answer
   */
  private static JsonNode readBody(Reply reply, Throwable failure, int acceptedStatus) {
    if (failure != null) {
      throw outcomeUnknown(failure.toString());
    }
    int status = reply.status();
    if (status == OK || status == acceptedStatus) {
      try {
        return reply.body().length == 0 ? Json.object() : Json.parseObject(reply.body());
      } catch (MalformedMessageException e) {
        throw outcomeUnknown(e.getMessage());
      }
    }
    throw new StateStoreException(
        StateStoreException.Kind.ofStatus(status),
        "the state store answered with HTTP status " + status);
  }

  private static StateStoreException outcomeUnknown(String message) {
    return new StateStoreException(StateStoreException.Kind.OUTCOME_UNKNOWN, message);
  }

  private static StateStoreException differentHistory() {
    return outcomeUnknown(
        "the answer does not continue the known history of the state store, or is of an earlier incarnation");
  }

  @FunctionalInterface
  private interface Parser<T> {
    T parse(JsonNode body) throws MalformedMessageException;
  }
}
