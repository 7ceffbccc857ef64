package io.cherryspool.sim.check;

import io.cherryspool.model.Job;
import java.time.Duration;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

/**
 * The observations about one job: the requests that users sent, the replies that they received, and
 * the starts and completions of its tasks.
 */
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

  void recordSubmission(Job submitted, Duration now) {
    job = submitted;
    submittedAt = now;
  }

  boolean isSubmitted() {
    return job != null;
  }

  /** Returns the job as it was submitted; null if it has not been submitted yet. */
  Job job() {
    return job;
  }

  Duration submittedAt() {
    return submittedAt;
  }

  /**
   * Records that a user received the acceptance of the job. Returns whether this was the first
   * time.
   */
  boolean recordAcceptance(Duration now) {
    lastAnswerAt = lastAnswerAt == null ? now : lastAnswerAt;
    boolean isFirst = acceptedAt == null;
    acceptedAt = isFirst ? now : acceptedAt;
    return isFirst;
  }

  boolean isAccepted() {
    return acceptedAt != null;
  }

  /** Whether a user had received the acceptance of the job at or before the given time. */
  boolean wasAcceptedBy(Duration moment) {
    return acceptedAt != null && moment.compareTo(acceptedAt) >= 0;
  }

  void recordAnswer(Duration now) {
    lastAnswerAt = now;
  }

  /** Returns the time at which a user last received a reply about the job. */
  Duration lastAnswerAt() {
    return lastAnswerAt;
  }

  void recordCancelRequest(Duration now) {
    cancelRequestedAt = cancelRequestedAt == null ? now : cancelRequestedAt;
  }

  boolean isCancelRequested() {
    return cancelRequestedAt != null;
  }

  void recordCancelConfirmation(Duration now) {
    cancelConfirmedAt = cancelConfirmedAt == null ? now : cancelConfirmedAt;
  }

  /** Returns the time at which a user first received a reply with the status cancelled. */
  Optional<Duration> cancelConfirmedAt() {
    return Optional.ofNullable(cancelConfirmedAt);
  }

  /** Whether more time than the limit has passed since the cancel was confirmed. */
  boolean isCancelOverdue(Duration now, Duration limit) {
    return cancelConfirmedAt != null && now.minus(cancelConfirmedAt).compareTo(limit) > 0;
  }

  void recordTaskStart(Duration now) {
    firstStartAt = firstStartAt == null ? now : firstStartAt;
  }

  /** Whether a task of the job started within the limit after the job was submitted. */
  boolean startedWithin(Duration limit) {
    return firstStartAt != null && firstStartAt.minus(submittedAt).compareTo(limit) <= 0;
  }

  void recordTaskCompletion(int task) {
    completedTasks.add(task);
  }

  boolean isTaskCompleted(int task) {
    return completedTasks.contains(task);
  }

  int completedTaskCount() {
    return completedTasks.size();
  }

  void recordEnd(String status, Duration now) {
    endStatus = status;
    endReportedAt = endReportedAt == null ? now : endReportedAt;
  }

  boolean hasEnded() {
    return endStatus != null;
  }

  /**
   * Whether a status contradicts the final status that a user has received. A request that was sent
   * before the user received the final status may still get a reply with an earlier status.
   */
  boolean contradictsEnd(String status, boolean isEnd, Duration askedAt) {
    return endStatus != null
        && (isEnd || askedAt.compareTo(endReportedAt) >= 0)
        && !endStatus.equals(status);
  }
}
