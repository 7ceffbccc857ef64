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
 * Serves users' requests. Any node does, with or without a leader: a submission and a cancel are
 * one compare-and-swap transaction each, and everything but a final state is read after the request
 * came in. A submission is an idempotent request. No method fails: what can't be served now is
 * answered 503.
 */
public final class UserApi {
  private static final String STATE_STORE_NOT_ANSWERING = "the state service is silent";

  private final ClusterRecords records;
  private final GroupCommit commits;
  private final SubmissionValidator validator;
  private final BooleanSupplier isBehindPeers;
  private final int failureCap;

  /**
   * Creates the user API.
   *
   * @param isBehindPeers whether other nodes read the state store while this one does not
   * @param failureCap the failures of one task after which it counts as failing
   */
  public UserApi(
      ClusterRecords records,
      GroupCommit commits,
      SubmissionValidator validator,
      BooleanSupplier isBehindPeers,
      int failureCap) {
    this.records = records;
    this.commits = commits;
    this.validator = validator;
    this.isBehindPeers = isBehindPeers;
    this.failureCap = failureCap;
  }

  /** Accepts a job, or answers with the state of the job if it was accepted earlier. */
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
      return acceptedEarlier(id);
    }
    if (!records.isLoaded()) {
      return Replies.completed(Replies.retryLater("not ready"));
    }
    return commits
        .submit(
            RateLimiter.WriteClass.SUBMIT,
            Map.of(Records.jobKey(id), 0L),
            new StateStoreProtocol.Change(Records.jobKey(id), submission.record(), 0))
        .thenCompose(
            isApplied ->
                isApplied
                    ? Replies.completed(status(Replies.CREATED, id, UserProtocol.JobStatus.PENDING))
                    : acceptedEarlier(id))
        .exceptionally(failure -> Replies.retryLater("the state service can't take the job now"));
  }

  /**
   * Refuses a submission unless the job was accepted earlier, by any node: one who repeats an
   * accepted submission never gets the answer that it is malformed or can never run. While no node
   * reads the state store none accepts anything either, so that this node's copy is enough; a node
   * that is behind others can't know.
   */
  private CompletableFuture<Reply> refuse(String id, Reply refusal) {
    if (records.job(id) != null) {
      return acceptedEarlier(id);
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

  /** The answer to a submission of a job that was accepted earlier. */
  private CompletableFuture<Reply> acceptedEarlier(String id) {
    return read(id, () -> Replies.retryLater("the job's record is not to be seen"));
  }

  /** The state of a job. */
  CompletableFuture<Reply> poll(String id) {
    return read(id, () -> unknownJob(id));
  }

  /**
   * The answer for a job without a record. After records were lost, a job that workers run was
   * accepted earlier, whoever its user was; which jobs they run is known only after reconciliation.
   */
  private Reply unknownJob(String id) {
    boolean neverAccepted = records.isAbandonedJob(id) || !records.isUnknownJob(id);
    return records.isReconciled() && neverAccepted
        ? Replies.error(Replies.NOT_FOUND, "no such job")
        : Replies.retryLater("the records of this job are lost; submit it again");
  }

  /** Cancels a job, or answers with its end if it has ended. */
  CompletableFuture<Reply> cancel(String id) {
    JobRecord known = records.job(id);
    if (hasEnded(known)) {
      return Replies.completed(endStatus(known));
    }
    return records
        .refresh()
        .thenCompose(nothing -> cancelCurrent(id))
        .exceptionally(failure -> Replies.retryLater(STATE_STORE_NOT_ANSWERING));
  }

  private CompletableFuture<Reply> cancelCurrent(String id) {
    JobRecord job = records.job(id);
    if (job == null) {
      return Replies.completed(unknownJob(id));
    }
    if (hasEnded(job)) {
      return Replies.completed(endStatus(job));
    }
    return commits
        .submit(
            RateLimiter.WriteClass.CANCEL,
            Map.of(Records.outcomeKey(id), 0L),
            new StateStoreProtocol.Change(
                Records.outcomeKey(id), Records.encodeOutcome(Outcome.CANCELLED), 0))
        .thenCompose(
            isApplied ->
                isApplied
                    ? Replies.completed(status(Replies.OK, id, UserProtocol.JobStatus.CANCELLED))
                    : records.refresh().thenApply(again -> afterConflict(records.job(id))));
  }

  /**
   * The answer to a cancel that met a conflict. How the job ended is answered only from a record
   * that is there: without one nothing shows how it ended, nor that it did, and the user asks
   * again.
   */
  private static Reply afterConflict(JobRecord job) {
    return hasEnded(job)
        ? endStatus(job)
        : Replies.retryLater("whether the job is cancelled is not known yet");
  }

  /**
   * The job's state as of now, not as of the last change that this node has read. Only an end is
   * answered from this node's copy alone, whatever the state store's condition, since nothing
   * follows it.
   */
  private CompletableFuture<Reply> read(String id, Supplier<Reply> ifUnknown) {
    JobRecord known = records.job(id);
    if (hasEnded(known)) {
      return Replies.completed(currentStatus(known));
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
