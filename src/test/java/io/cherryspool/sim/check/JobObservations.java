package io.cherryspool.sim.check;

import io.cherryspool.model.Job;
import java.time.Duration;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

/** What was observed of one job: what users sent and received, and what became of its tasks. */
final class JobObservations {
  private Job job;
  private Duration submittedAt;
  private Duration acceptedAt;
  private Duration lastAnswerAt;
  private Duration cancelRequestedAt;
  private Duration cancelConfirmedAt;
  private Duration firstStartAt;
  private String endStatus;
  private Duration endReportedAt;
  private final Set<Integer> completedTasks = new HashSet<>();

  void submitted(Job submitted, Duration now) {
    job = submitted;
    submittedAt = now;
  }

  boolean isSubmitted() {
    return job != null;
  }

  /** The job as it was submitted; null before. */
  Job job() {
    return job;
  }

  Duration submittedAt() {
    return submittedAt;
  }

  /** Notes that the job was accepted; true the first time. */
  boolean accepted(Duration now) {
    lastAnswerAt = lastAnswerAt == null ? now : lastAnswerAt;
    boolean isFirst = acceptedAt == null;
    acceptedAt = isFirst ? now : acceptedAt;
    return isFirst;
  }

  boolean isAccepted() {
    return acceptedAt != null;
  }

  /** Whether the job had been accepted by this moment. */
  boolean wasAcceptedBy(Duration moment) {
    return acceptedAt != null && moment.compareTo(acceptedAt) >= 0;
  }

  void answered(Duration now) {
    lastAnswerAt = now;
  }

  /** When a user last received an answer about the job. */
  Duration lastAnswerAt() {
    return lastAnswerAt;
  }

  void cancelRequested(Duration now) {
    cancelRequestedAt = cancelRequestedAt == null ? now : cancelRequestedAt;
  }

  boolean isCancelRequested() {
    return cancelRequestedAt != null;
  }

  void cancelConfirmed(Duration now) {
    cancelConfirmedAt = cancelConfirmedAt == null ? now : cancelConfirmedAt;
  }

  /** When a user first received that the job is cancelled. */
  Optional<Duration> cancelConfirmedAt() {
    return Optional.ofNullable(cancelConfirmedAt);
  }

  /** Whether the cancel was confirmed longer ago than the limit. */
  boolean isCancelOverdue(Duration now, Duration limit) {
    return cancelConfirmedAt != null && now.minus(cancelConfirmedAt).compareTo(limit) > 0;
  }

  void taskStarted(Duration now) {
    firstStartAt = firstStartAt == null ? now : firstStartAt;
  }

  /** Whether a task of the job started within this time after the job was submitted. */
  boolean startedWithin(Duration limit) {
    return firstStartAt != null && firstStartAt.minus(submittedAt).compareTo(limit) <= 0;
  }

  void taskCompleted(int task) {
    completedTasks.add(task);
  }

  boolean isCompleted(int task) {
    return completedTasks.contains(task);
  }

  int completedTaskCount() {
    return completedTasks.size();
  }

  void ended(String status, Duration now) {
    endStatus = status;
    endReportedAt = endReportedAt == null ? now : endReportedAt;
  }

  boolean hasEnded() {
    return endStatus != null;
  }

  /**
   * Whether this status contradicts the end that was reported. An answer to a question from before
   * that report may still be from before the end.
   */
  boolean contradictsEnd(String status, boolean isEnd, Duration askedAt) {
    return endStatus != null
        && (isEnd || askedAt.compareTo(endReportedAt) >= 0)
        && !endStatus.equals(status);
  }
}
