package io.cherryspool.controller.api;

import io.cherryspool.http.Reply;
import io.cherryspool.model.Outcome;
import io.cherryspool.store.ClusterRecords;
import io.cherryspool.store.GroupCommit;
import io.cherryspool.store.JobRecord;
import io.cherryspool.store.RateLimiter;
import io.cherryspool.store.Records;
import io.cherryspool.wire.StateStoreProtocol;
import io.cherryspool.wire.UserProtocol;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

/**
 * Serves users' requests. Every node can do so, with or without a leader: each submission and each
 * cancellation is one compare-and-swap transaction, and a job's state, unless it is final, is read
 * from the state store after the request was received. Submissions are idempotent. The returned
 * futures never fail: a request that can't be served now is answered with 503.
 */
public final class UserApi {
  private static final String STATE_STORE_NOT_ANSWERING = "the state service is silent";

  private final ClusterRecords records;
  private final GroupCommit groupCommit;
  private final SubmissionValidator validator;
  private final BooleanSupplier isBehindPeers;
  private final int failureCap;

  /**
   * Creates the API.
   *
   * @param isBehindPeers returns whether other nodes read the state store while this node does not
   * @param failureCap the number of failures after which a task counts as failing
   */
  public UserApi(
      ClusterRecords records,
      GroupCommit groupCommit,
      SubmissionValidator validator,
      BooleanSupplier isBehindPeers,
      int failureCap) {
    this.records = records;
    this.groupCommit = groupCommit;
    this.validator = validator;
    this.isBehindPeers = isBehindPeers;
    this.failureCap = failureCap;
  }

  /** Accepts a job, or answers with its state if it was accepted earlier. */
  CompletableFuture<Reply> submit(byte[] body) {
    JobSubmission submission = validator.validate(body);
    if (submission instanceof JobSubmission.Invalid invalid) {
      return invalid.jobId().isEmpty()
          ? Replies.completed(invalid.refusal())
          : refuse(invalid.jobId().get(), invalid.refusal());
    }
    return accept((JobSubmission.Valid) submission);
  }

  private CompletableFuture<Reply> accept(JobSubmission.Valid submission) {
    String id = submission.jobId();
    if (records.job(id) != null) {
      return answerAcceptedEarlier(id);
    }
    if (!records.isLoaded()) {
      return Replies.completed(Replies.retryLater("not ready"));
    }
    return groupCommit
        .submit(
            RateLimiter.WriteClass.SUBMIT,
            Map.of(Records.jobKey(id), 0L),
            new StateStoreProtocol.Change(Records.jobKey(id), submission.record(), 0))
        .thenCompose(
            isApplied ->
                isApplied
                    ? Replies.completed(status(Replies.CREATED, id, UserProtocol.JobStatus.PENDING))
                    : answerAcceptedEarlier(id))
        .exceptionally(failure -> Replies.retryLater("the state service can't take the job now"));
  }

  /**
   * Refuses a submission unless any node has accepted the job earlier: a user who repeats an
   * accepted submission must never be answered that it is malformed or can never run. While no node
   * can read the state store, no node accepts jobs, so that this node's replica of the records is
   * sufficient. A node that is behind its peers can't know whether the job was accepted.
   */
  private CompletableFuture<Reply> refuse(String id, Reply refusal) {
    if (records.job(id) != null) {
      return answerAcceptedEarlier(id);
    }
    if (!records.isLoaded()) {
      return Replies.completed(Replies.retryLater("not ready"));
    }
    return records
        .refresh()
        .handle(
            (nothing, failure) -> {
              JobRecord job = records.job(id);
              boolean isUncertain = !records.isLoaded() || isBehindPeers.getAsBoolean();
              if (failure != null && (job != null || isUncertain)) {
                return Replies.retryLater(STATE_STORE_NOT_ANSWERING);
              }
              return job == null ? refusal : currentStatus(job);
            });
  }

  /** Returns the answer to a submission of a job that was accepted earlier. */
  private CompletableFuture<Reply> answerAcceptedEarlier(String id) {
    return answerWithStatus(id, () -> Replies.retryLater("the job's record is not to be seen"));
  }

  /** Answers with the state of a job. */
  CompletableFuture<Reply> poll(String id) {
    return answerWithStatus(id, () -> unknownJobReply(id));
  }

  /**
   * Returns the answer for a job without a record. After a loss of records, a job whose tasks
   * workers run must have been accepted before the loss. Which jobs the workers run is known only
   * after reconciliation.
   */
  private Reply unknownJobReply(String id) {
    boolean neverAccepted = records.isAbandonedJob(id) || !records.isUnknownJob(id);
    return records.isReconciled() && neverAccepted
        ? Replies.error(Replies.NOT_FOUND, "no such job")
        : Replies.retryLater("the records of this job are lost; submit it again");
  }

  /** Cancels a job, or answers with its final state if it has ended. */
  CompletableFuture<Reply> cancel(String id) {
    JobRecord replicaJob = records.job(id);
    if (hasEnded(replicaJob)) {
      return Replies.completed(endStatus(replicaJob));
    }
    return records
        .refresh()
        .thenCompose(nothing -> cancelCurrent(id))
        .exceptionally(failure -> Replies.retryLater(STATE_STORE_NOT_ANSWERING));
  }

  private CompletableFuture<Reply> cancelCurrent(String id) {
    JobRecord job = records.job(id);
    if (job == null) {
      return Replies.completed(unknownJobReply(id));
    }
    if (hasEnded(job)) {
      return Replies.completed(endStatus(job));
    }
    return groupCommit
        .submit(
            RateLimiter.WriteClass.CANCEL,
            Map.of(Records.outcomeKey(id), 0L),
            new StateStoreProtocol.Change(
                Records.outcomeKey(id), Records.encodeOutcome(Outcome.CANCELLED), 0))
        .thenCompose(
            isApplied ->
                isApplied
                    ? Replies.completed(status(Replies.OK, id, UserProtocol.JobStatus.CANCELLED))
                    : records.refresh().thenApply(nothing -> conflictReply(records.job(id))));
  }

  /**
   * Returns the answer to a cancellation whose transaction met a conflict. Only a record of the
   * job's outcome shows that the job has ended, and how. Without one, the user must ask again.
   */
  private static Reply conflictReply(JobRecord job) {
    return hasEnded(job)
        ? endStatus(job)
        : Replies.retryLater("whether the job is cancelled is not known yet");
  }

  /**
   * Answers with the job's present state, which it reads from the state store first. Only a final
   * state is answered from this node's replica, even if the state store is unreachable, because a
   * final state never changes.
   */
  private CompletableFuture<Reply> answerWithStatus(String id, Supplier<Reply> ifUnknown) {
    JobRecord replicaJob = records.job(id);
    if (hasEnded(replicaJob)) {
      return Replies.completed(currentStatus(replicaJob));
    }
    return records
        .refresh()
        .thenApply(
            nothing -> {
              JobRecord job = records.job(id);
              return job == null ? ifUnknown.get() : currentStatus(job);
            })
        .exceptionally(failure -> Replies.retryLater(STATE_STORE_NOT_ANSWERING));
  }

  private static boolean hasEnded(JobRecord job) {
    return job != null && job.outcome() != null;
  }

  private Reply currentStatus(JobRecord job) {
    int running = hasEnded(job) ? 0 : job.ownedCount();
    UserProtocol.JobStatus status =
        hasEnded(job)
            ? statusOf(job.outcome())
            : running > 0 ? UserProtocol.JobStatus.RUNNING : UserProtocol.JobStatus.PENDING;
    return Reply.json(
        Replies.OK,
        UserProtocol.encodeStatus(
            job.job().id(), status, job.doneCount(), running, job.failingTaskCount(failureCap)));
  }

  private static Reply endStatus(JobRecord job) {
    return status(Replies.OK, job.job().id(), statusOf(job.outcome()));
  }

  private static UserProtocol.JobStatus statusOf(Outcome outcome) {
    return outcome == Outcome.DONE ? UserProtocol.JobStatus.DONE : UserProtocol.JobStatus.CANCELLED;
  }

  private static Reply status(int httpStatus, String id, UserProtocol.JobStatus status) {
    return Reply.json(httpStatus, UserProtocol.encodeStatus(id, status));
  }
}
