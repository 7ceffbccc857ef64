package io.cherryspool.controller.fleet;

import io.cherryspool.model.FencingToken;
import io.cherryspool.model.TaskId;
import io.cherryspool.model.WorkerHeartbeat;
import io.cherryspool.reachability.ContactState;
import java.time.Duration;
import java.util.Objects;
import java.util.Optional;

/**
 * The contact with the worker of one machine during one leader's term, derived from its heartbeats
 * and the replies to them. Times are those of the event loop. Used on the event loop only.
 */
public final class MachineContact {
  /**
   * The maximum number of consecutive ignored replies that are tolerated. One ignored reply proves
   * nothing: the worker may have sent its next heartbeat before the reply arrived.
   */
  private static final int MAX_IGNORED_REPLIES = 1;

  private WorkerHeartbeat latestHeartbeat;
  private Duration lastHeartbeatAt;

  /**
   * The value of {@link #lastHeartbeatAt} when the machine was last probed, null before the first
   * probe.
   */
  private Duration heartbeatAtProbe;

  private boolean isUnresponsive;

  /**
   * When this leader received the first heartbeat of the current agent epoch; the epoch began
   * before that. The worker's lease starts with the epoch, even if none of its heartbeats is
   * answered.
   */
  private Duration epochFirstSeenAt;

  /** The term of the highest fencing token that the worker has shown. */
  private long acknowledgedTerm;

  /** When this leader received the first message with a token of {@link #acknowledgedTerm}. */
  private Duration termAcknowledgedAt;

  /** See {@link #earlierTermsEndedBy}. */
  private Duration earlierTermsEndedBy;

  private Duration lastReplyAt;

  /**
   * The agent epoch of the newest answered heartbeat. Late copies are recognised by it and by the
   * sequence number.
   */
  private long repliedEpoch;

  private long repliedSequence;

  /** The token of the last reply. A worker that has received it reports no lower token. */
  private long repliedToken;

  private int ignoredReplies;
  private Duration notReceivingSince;

  /** Records the heartbeat if it is newer than all earlier ones; returns whether it is. */
  public boolean recordHeartbeat(WorkerHeartbeat heartbeat, Duration now) {
    if (latestHeartbeat != null && !heartbeat.isNewerThan(latestHeartbeat)) {
      return false;
    }
    if (latestHeartbeat == null || heartbeat.agentEpoch() > latestHeartbeat.agentEpoch()) {
      epochFirstSeenAt = now;
    }
    recordTerm(heartbeat, now);
    latestHeartbeat = heartbeat;
    lastHeartbeatAt = now;
    isUnresponsive = false;
    if (heartbeat.highestFencingToken() >= repliedToken) {
      ignoredReplies = 0;
      notReceivingSince = null;
    }
    return true;
  }

  /** Must be called before the heartbeat becomes the newest one. */
  private void recordTerm(WorkerHeartbeat heartbeat, Duration now) {
    long term = FencingToken.term(heartbeat.highestFencingToken());
    if (term > acknowledgedTerm) {
      acknowledgedTerm = term;
      termAcknowledgedAt = now;
      earlierTermsEndedBy = isNextAfterNewest(heartbeat) ? lastHeartbeatAt : now;
    }
  }

  /** Whether the worker has sent no heartbeat between the newest one received and this one. */
  private boolean isNextAfterNewest(WorkerHeartbeat heartbeat) {
    return latestHeartbeat != null
        && heartbeat.agentEpoch() == latestHeartbeat.agentEpoch()
        && heartbeat.sequence() == latestHeartbeat.sequence() + 1;
  }

  /**
   * Records that this heartbeat is answered under the token, and returns true. Returns false
   * without recording anything if the heartbeat is a late copy of one that was answered before: the
   * worker no longer waits for the reply, so it renews no lease.
   *
   * <p>A worker has only one heartbeat in flight, so the next heartbeat shows whether the previous
   * reply arrived. A worker that receives no replies continues to send heartbeats and appears
   * alive; it is detected because it reports a token lower than that of the last reply.
   */
  public boolean recordReply(WorkerHeartbeat heartbeat, long token, Duration now) {
    boolean isDuplicate =
        heartbeat.agentEpoch() < repliedEpoch
            || (heartbeat.agentEpoch() == repliedEpoch && heartbeat.sequence() <= repliedSequence);
    if (isDuplicate) {
      return false;
    }
    if (heartbeat.highestFencingToken() < repliedToken) {
      ignoredReplies++;
      notReceivingSince = notReceivingSince == null ? now : notReceivingSince;
    }
    repliedEpoch = heartbeat.agentEpoch();
    repliedSequence = heartbeat.sequence();
    lastReplyAt = now;
    repliedToken = token;
    return true;
  }

  /**
   * Whether any heartbeat, sent by the worker on its own schedule or as the answer to a call, was
   * received in this term.
   */
  public boolean hasHeartbeat() {
    return latestHeartbeat != null;
  }

  /**
   * Returns the newest heartbeat, null before the first one of this term. It is not an {@link
   * Optional}, since it is read for every machine in every round.
   */
  public WorkerHeartbeat latestHeartbeat() {
    return latestHeartbeat;
  }

  /** Returns when the newest heartbeat was received, null before the first one of this term. */
  public Duration lastHeartbeatAt() {
    return lastHeartbeatAt;
  }

  /** Returns when a heartbeat was last answered in this term, empty if none was. */
  public Optional<Duration> lastReplyAt() {
    return Optional.ofNullable(lastReplyAt);
  }

  /** Whether no heartbeat was received within the limit before now. */
  public boolean isSilent(Duration now, Duration limit) {
    return lastHeartbeatAt == null || now.minus(lastHeartbeatAt).compareTo(limit) > 0;
  }

  /** Whether the worker has acknowledged a token higher than this one. */
  public boolean hasTokenAbove(long token) {
    return latestHeartbeat != null && latestHeartbeat.highestFencingToken() > token;
  }

  /**
   * Returns when this leader first received a message that shows a token of the term, empty if none
   * has. The worker had accepted the token by then, possibly much earlier.
   *
   * @param term the term of this leader, the highest of which a worker can have a token
   */
  public Optional<Duration> termAcknowledgedAt(long term) {
    return acknowledgedTerm == term ? Optional.of(termAcknowledgedAt) : Optional.empty();
  }

  /**
   * Returns a time by which the worker had sent every heartbeat that a leader of an earlier term
   * can have answered with effect, empty if the worker has shown no token of the term.
   *
   * <p>The worker drops replies of earlier leaders once it has accepted a token of the term, so all
   * these heartbeats were sent before the first message that shows such a token. If the sequence
   * number proves that the worker sent nothing between that message and the one received before it,
   * they were sent before the earlier of the two was received.
   *
   * @param term the term of this leader, the highest of which a worker can have a token
   */
  public Optional<Duration> earlierTermsEndedBy(long term) {
    return acknowledgedTerm == term ? Optional.of(earlierTermsEndedBy) : Optional.empty();
  }

  /** Returns the number of consecutive replies that the worker has shown no sign of receiving. */
  public int ignoredReplies() {
    return ignoredReplies;
  }

  /**
   * Returns for how long the worker has received no replies, empty if it is not known to miss any.
   */
  public Optional<Duration> notReceivingFor(Duration now) {
    return isNotReceiving() ? Optional.of(now.minus(notReceivingSince)) : Optional.empty();
  }

  private boolean isNotReceiving() {
    return ignoredReplies > MAX_IGNORED_REPLIES;
  }

  /** Whether the worker did not answer the last probe and has sent no heartbeat since. */
  public boolean isUnresponsive() {
    return isUnresponsive;
  }

  /** Records that a probe was not answered. */
  public void markUnresponsive() {
    isUnresponsive = true;
  }

  /** Whether the last heartbeat was received before the cutoff and no probe was recorded since. */
  public boolean isProbeDue(Duration lateCutoff) {
    return lastHeartbeatAt != null
        && !lastHeartbeatAt.equals(heartbeatAtProbe)
        && lastHeartbeatAt.compareTo(lateCutoff) < 0;
  }

  /** Records that a probe of the machine is queued. */
  public void recordProbe() {
    heartbeatAtProbe = lastHeartbeatAt;
  }

  /** Whether a heartbeat was received since a probe was last recorded. */
  public boolean hasHeartbeatSinceProbe() {
    return !Objects.equals(lastHeartbeatAt, heartbeatAtProbe);
  }

  /**
   * Returns when the worker's lease was last renewed, as far as this leader knows: when the leader
   * last replied, or when it first saw the current agent epoch if that was later. Null before the
   * first heartbeat.
   */
  public Duration lastLeaseRenewalAt() {
    boolean isEpochNewer =
        lastReplyAt == null
            || (epochFirstSeenAt != null && epochFirstSeenAt.compareTo(lastReplyAt) > 0);
    return isEpochNewer ? epochFirstSeenAt : lastReplyAt;
  }

  /**
   * Returns the state of the contact with the machine.
   *
   * @param firstSeen when the leader first knew of the machine
   * @param lateCutoff a last heartbeat or last reply before this time counts as late
   * @param termStart when the leader's term began, used as the time of the last reply if there was
   *     none
   */
  ContactState contactState(Duration firstSeen, Duration lateCutoff, Duration termStart) {
    if (latestHeartbeat == null) {
      return firstSeen.compareTo(lateCutoff) < 0 ? ContactState.NEVER_SEEN : ContactState.NEW;
    }
    if (isNotReceiving()) {
      return ContactState.NOT_RECEIVING;
    }
    if (lastHeartbeatAt.compareTo(lateCutoff) < 0) {
      return ContactState.SILENT;
    }
    Duration repliedAt = lastReplyAt == null ? termStart : lastReplyAt;
    return repliedAt.compareTo(lateCutoff) < 0 ? ContactState.LATE : ContactState.REACHABLE;
  }

  /**
   * Returns the status of the attempt in the newest heartbeat, empty if that does not list it.
   * There must be a heartbeat.
   */
  public Optional<WorkerHeartbeat.TaskStatus> findTask(TaskId task, int attempt) {
    for (WorkerHeartbeat.TaskStatus status : latestHeartbeat.tasks()) {
      if (status.attempt() == attempt && status.task().equals(task)) {
        return Optional.of(status);
      }
    }
    return Optional.empty();
  }
}
