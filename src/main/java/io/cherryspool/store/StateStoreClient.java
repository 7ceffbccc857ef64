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

/** The state service's calls. Failures are {@link StateStoreException}s. */
public final class StateStoreClient {
  /** After this part of its deadline a transaction without an answer is sent once more. */
  private static final int IMPATIENCE = 4;

  /** The most keys that one answer may hold. */
  private static final int PAGE = 1000;

  private final EventLoop loop;
  private final RateLimiter rateLimiter;
  private final Transport transport;
  private final Endpoint service;
  private final Duration deadline;
  private final KeySpace keySpace = new KeySpace();
  private RollbackDetector setRollbackDetector = RollbackDetector.DISABLED;

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

  /** From now on answers are held against the history that is known. */
  public void setRollbackDetector(RollbackDetector with) {
    setRollbackDetector = with;
  }

  /** Where the records' keys are. */
  public KeySpace keySpace() {
    return keySpace;
  }

  /** What became of a transaction: applied, or the conditions that failed. */
  public record CommitResult(boolean applied, Set<String> failed, long revision) {}

  /**
   * Sends a transaction, and the same once more if there is no answer for a while: an answer may be
   * lost, or the transaction held up for seconds, while others pass. Its conditions name what it
   * replaces, so that one copy at most is applied; if the other says so, its conditions fail, and
   * the caller reads what happened.
   */
  public CompletableFuture<CommitResult> commit(
      Map<String, Long> conditions, List<StateStoreProtocol.Change> changes) {
    if (!keySpace.isFenced()) {
      return send(StateStoreProtocol.transactionRequest(conditions, changes), changes.size());
    }
    long floor = setRollbackDetector.minimumRevision();
    Incarnation before = keySpace.incarnation();
    return send(keySpace.commit(conditions, changes), changes.size())
        .thenApply(result -> checked(result, floor, before, changes));
  }

  /**
   * Sends a transaction on keys as the service has them, whatever the incarnation; for what builds
   * the next one.
   */
  public CompletableFuture<CommitResult> commitPhysical(
      Map<String, Long> conditions, List<StateStoreProtocol.Change> changes) {
    return send(StateStoreProtocol.transactionRequest(conditions, changes), changes.size());
  }

  /**
   * An answer from another history, or to a transaction of an earlier incarnation, says nothing
   * that a user may be told: what was applied may have been lost since.
   */
  private CommitResult checked(
      CommitResult result,
      long floor,
      Incarnation before,
      List<StateStoreProtocol.Change> changes) {
    if (keySpace.incarnation() != before) {
      throw overtaken();
    }
    boolean known =
        setRollbackDetector.verifyRevision(result.applied() ? floor + 1 : floor, result.revision());
    if (result.failed().contains(Incarnation.KEY)) {
      setRollbackDetector.onIncarnationChanged();
      known = false;
    }
    if (!known) {
      throw overtaken();
    }
    if (result.applied()) {
      setRollbackDetector.onCommitApplied(changes, result.revision());
      return result;
    }
    Set<String> failed = new HashSet<>();
    result.failed().forEach(key -> failed.add(keySpace.toLogical(key)));
    return new CommitResult(false, failed, result.revision());
  }

  private CompletableFuture<CommitResult> send(Request request, int changes) {
    Transaction transaction = new Transaction(request);
    transaction.send();
    transaction.timer =
        loop.schedule(
            deadline.dividedBy(IMPATIENCE),
            () -> {
              if (!transaction.result.isDone()
                  && rateLimiter.mayWrite(RateLimiter.WriteClass.CANCEL, 0, changes)) {
                rateLimiter.forceAcquire(changes);
                transaction.send();
              }
            });
    return transaction.result;
  }

  /** A transaction with its copies; the first that is answered settles it. */
  private final class Transaction {
    private final Request request;
    private final CompletableFuture<CommitResult> result = new CompletableFuture<>();
    private Throwable failed;
    private int open;
    private EventLoop.Timer timer;

    Transaction(Request request) {
      this.request = request;
    }

    void send() {
      open++;
      once(request)
          .whenComplete(
              (outcome, failure) -> {
                open--;
                if (failure == null) {
                  result.complete(outcome);
                } else if (failed == null
                    || StateStoreException.kindOf(failure)
                        == StateStoreException.Kind.OUTCOME_UNKNOWN) {
                  // One copy that was surely not carried out says nothing of the other.
                  failed = failure;
                }
                if (open == 0 && failed != null) {
                  result.completeExceptionally(failed);
                }
                if (result.isDone() && timer != null) {
                  timer.cancel();
                }
              });
    }
  }

  private CompletableFuture<CommitResult> once(Request request) {
    return transport
        .send(service, request, deadline)
        .handle(
            (reply, failure) -> {
              JsonNode body = body(reply, failure, 409);
              try {
                long revision = StateStoreProtocol.parseRevision(body);
                return reply.status() == 200
                    ? new CommitResult(true, Set.of(), revision)
                    : new CommitResult(false, StateStoreProtocol.parseFailedKeys(body), revision);
              } catch (MalformedMessageException e) {
                throw new StateStoreException(
                    StateStoreException.Kind.OUTCOME_UNKNOWN, e.getMessage());
              }
            });
  }

  /** Keys as the service has them, from any incarnation. */
  public CompletableFuture<StateStoreProtocol.KeyPage> list(String prefix, String after) {
    long floor = setRollbackDetector.minimumRevision();
    Incarnation before = keySpace.incarnation();
    return call(
            StateStoreProtocol.listRequest(prefix, after, PAGE),
            deadline,
            StateStoreProtocol::parsePage)
        .thenApply(page -> known(page, before, floor, page.revision()));
  }

  /** The identity record as it was read, with the revision of the reading. */
  public record IncarnationReading(Incarnation incarnation, long version, long revision) {}

  /** Reads the identity record; a null incarnation of version 0 where there is none. */
  public CompletableFuture<IncarnationReading> readIncarnation() {
    return list(Incarnation.KEY, null)
        .thenApply(
            page -> {
              if (page.items().isEmpty()) {
                return new IncarnationReading(null, 0, page.revision());
              }
              StateStoreProtocol.Event found = page.items().get(0);
              Incarnation incarnation = Incarnation.decode(found.value());
              return new IncarnationReading(incarnation, found.version(), page.revision());
            });
  }

  private <T> T known(T answer, Incarnation before, long floor, long revision) {
    if (keySpace.incarnation() != before || !setRollbackDetector.verifyRevision(floor, revision)) {
      throw overtaken();
    }
    return answer;
  }

  private static StateStoreException overtaken() {
    return new StateStoreException(StateStoreException.Kind.OUTCOME_UNKNOWN, "of another history");
  }

  /** Changes after a revision, waiting up to {@code wait} for the first. */
  public CompletableFuture<StateStoreProtocol.WatchResult> readChanges(
      String prefix, long after, Duration wait) {
    long floor = setRollbackDetector.minimumRevision();
    Incarnation before = keySpace.incarnation();
    return call(
            StateStoreProtocol.watchRequest(prefix, after, wait),
            deadline.plus(wait),
            StateStoreProtocol::parseChanges)
        .thenApply(changes -> known(changes, before, floor, changes.revision()));
  }

  public CompletableFuture<Long> grantLease(Duration ttl) {
    return call(
        StateStoreProtocol.grantLeaseRequest(ttl), deadline, StateStoreProtocol::parseLeaseId);
  }

  public CompletableFuture<Void> renewLease(long lease) {
    return call(StateStoreProtocol.renewLeaseRequest(lease), deadline, body -> null);
  }

  public CompletableFuture<Void> revokeLease(long lease) {
    return call(StateStoreProtocol.revokeLeaseRequest(lease), deadline, body -> null);
  }

  private <T> CompletableFuture<T> call(Request request, Duration limit, Parser<T> parser) {
    return transport
        .send(service, request, limit)
        .handle(
            (reply, failure) -> {
              JsonNode body = body(reply, failure, 200);
              try {
                return parser.parse(body);
              } catch (MalformedMessageException e) {
                throw new StateStoreException(
                    StateStoreException.Kind.OUTCOME_UNKNOWN, e.getMessage());
              }
            });
  }

  private static JsonNode body(Reply reply, Throwable failure, int alsoFine) {
    if (failure != null) {
      throw new StateStoreException(StateStoreException.Kind.OUTCOME_UNKNOWN, failure.toString());
    }
    int status = reply.status();
    if (status == 200 || status == alsoFine) {
      try {
        return reply.body().length == 0 ? Json.object() : Json.parseObject(reply.body());
      } catch (MalformedMessageException e) {
        throw new StateStoreException(StateStoreException.Kind.OUTCOME_UNKNOWN, e.getMessage());
      }
    }
    throw new StateStoreException(
        switch (status) {
          case 429 -> StateStoreException.Kind.RATE_LIMITED;
          case 503 -> StateStoreException.Kind.NOT_EXECUTED;
          case 404, 410 -> StateStoreException.Kind.GONE;
          case 400 -> StateStoreException.Kind.INVALID_REQUEST;
          default -> StateStoreException.Kind.OUTCOME_UNKNOWN;
        },
        "state service answered " + status);
  }

  @FunctionalInterface
  private interface Parser<T> {
    T parse(JsonNode body) throws MalformedMessageException;
  }
}
