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
 * The calls to the state store. Each future fails with a {@link StateStoreException}, or with one
 * that has it as its cause; {@link StateStoreException#kindOf} reads both.
 *
 * <p>An answer that does not continue the history known to the {@link RollbackDetector}, or that
 * arrives after another incarnation was entered, fails as {@code OUTCOME_UNKNOWN}. Requests are not
 * held back by the {@link RateLimiter}: callers acquire what they send.
 */
public final class StateStoreClient {
  /** A transaction is sent again after this fraction of its deadline. */
  private static final int HEDGE_DIVISOR = 4;

  /** The most keys that one page may hold. */
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
   * @param rateLimiter counts the second copies of transactions
   * @param deadline how long a request may take before it fails
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

  /** Checks answers against the known history from now on. */
  public void setRollbackDetector(RollbackDetector rollbackDetector) {
    detector = rollbackDetector;
  }

  /** The mapping of keys that the transactions of this client use. */
  public KeySpace keySpace() {
    return keySpace;
  }

  /**
   * The answer to a transaction.
   *
   * @param applied whether it was applied; if not, a condition failed
   * @param failed the keys whose conditions failed, empty if it was applied
   * @param revision the revision at which it was applied or refused
   */
  public record CommitResult(boolean applied, Set<String> failed, long revision) {}

  /**
   * Sends a compare-and-swap transaction with logical keys, fenced by the present incarnation if
   * there is one. It may be sent twice, see {@link HedgedTransaction}: if the second copy is
   * answered, the conditions fail although the first one was applied, and only the records show it.
   *
   * @param conditions the versions that keys must have, 0 for a key that must be absent
   */
  public CompletableFuture<CommitResult> commit(
      Map<String, Long> conditions, List<StateStoreProtocol.Change> changes) {
    if (!keySpace.isFenced()) {
      return commitPhysical(conditions, changes);
    }
    long minimum = detector.minimumRevision();
    Incarnation sentIn = keySpace.incarnation();
    return hedged(keySpace.fencedTransaction(conditions, changes), changes.size())
        .thenApply(result -> verify(result, minimum, sentIn, changes));
  }

  /**
   * Sends a transaction with physical keys and without a fence, for writing the records of the next
   * incarnation.
   */
  public CompletableFuture<CommitResult> commitPhysical(
      Map<String, Long> conditions, List<StateStoreProtocol.Change> changes) {
    return hedged(StateStoreProtocol.transactionRequest(conditions, changes), changes.size());
  }

  private CompletableFuture<CommitResult> hedged(Request request, int changeCount) {
    return new HedgedTransaction(this, rateLimiter, request, changeCount)
        .send(loop, deadline.dividedBy(HEDGE_DIVISOR));
  }

  /**
   * An answer from another history, or to a transaction of an earlier incarnation, must not reach a
   * user: what was applied may have been lost since.
   */
  private CommitResult verify(
      CommitResult result,
      long minimum,
      Incarnation sentIn,
      List<StateStoreProtocol.Change> changes) {
    if (keySpace.incarnation() != sentIn) {
      throw ofAnotherHistory();
    }
    boolean isOfKnownHistory =
        detector.verifyRevision(result.applied() ? minimum + 1 : minimum, result.revision());
    if (result.failed().contains(Incarnation.KEY)) {
      detector.onIncarnationChanged();
      isOfKnownHistory = false;
    }
    if (!isOfKnownHistory) {
      throw ofAnotherHistory();
    }
    if (result.applied()) {
      detector.onCommitApplied(changes, result.revision());
      return result;
    }
    Set<String> failed = new HashSet<>();
    result.failed().forEach(key -> failed.add(keySpace.toLogical(key)));
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
   * Reads one page of physical keys, of any incarnation.
   *
   * @param after the last key of the page before, null for the first page
   */
  public CompletableFuture<StateStoreProtocol.KeyPage> list(String prefix, String after) {
    long minimum = detector.minimumRevision();
    Incarnation sentIn = keySpace.incarnation();
    return call(
            StateStoreProtocol.listRequest(prefix, after, MAX_PAGE_KEYS),
            deadline,
            StateStoreProtocol::parsePage)
        .thenApply(page -> verify(page, sentIn, minimum, page.revision()));
  }

  /**
   * The identity record as it was read.
   *
   * @param incarnation null if there is no such record
   * @param version the record's version, 0 if there is none
   * @param revision the revision of the state store at that moment
   */
  public record IncarnationReading(Incarnation incarnation, long version, long revision) {}

  /** Reads the identity record. */
  public CompletableFuture<IncarnationReading> readIncarnation() {
    return list(Incarnation.KEY, null)
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

  private <T> T verify(T answer, Incarnation sentIn, long minimum, long revision) {
    if (keySpace.incarnation() != sentIn || !detector.verifyRevision(minimum, revision)) {
      throw ofAnotherHistory();
    }
    return answer;
  }

  /**
   * Reads the changes of physical keys after a revision. Fails as {@code GONE} if the state store
   * keeps no history that old.
   *
   * @param maxWait how long the state store waits for the first change before it answers without
   */
  public CompletableFuture<StateStoreProtocol.WatchResult> readChanges(
      String prefix, long afterRevision, Duration maxWait) {
    long minimum = detector.minimumRevision();
    Incarnation sentIn = keySpace.incarnation();
    return call(
            StateStoreProtocol.watchRequest(prefix, afterRevision, maxWait),
            deadline.plus(maxWait),
            StateStoreProtocol::parseChanges)
        .thenApply(changes -> verify(changes, sentIn, minimum, changes.revision()));
  }

  /** Requests a lease; completes with its id. */
  public CompletableFuture<Long> grantLease(Duration timeToLive) {
    return call(
        StateStoreProtocol.grantLeaseRequest(timeToLive),
        deadline,
        StateStoreProtocol::parseLeaseId);
  }

  /** Renews a lease by its time to live. Fails as {@code GONE} if it has expired. */
  public CompletableFuture<Void> renewLease(long leaseId) {
    return call(StateStoreProtocol.renewLeaseRequest(leaseId), deadline, body -> null);
  }

  /** Ends a lease, and with it the keys attached to it. */
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
   * Reads the body of an answer, or throws what is known of the effect of a failed request.
   *
   * @param acceptedStatus a status besides 200 whose body is an answer
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
        StateStoreException.Kind.ofStatus(status), "the state store answered " + status);
  }

  private static StateStoreException outcomeUnknown(String message) {
    return new StateStoreException(StateStoreException.Kind.OUTCOME_UNKNOWN, message);
  }

  private static StateStoreException ofAnotherHistory() {
    return outcomeUnknown("the answer is of another history");
  }

  @FunctionalInterface
  private interface Parser<T> {
    T parse(JsonNode body) throws MalformedMessageException;
  }
}
