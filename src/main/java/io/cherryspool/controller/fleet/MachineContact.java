package io.cherryspool.controller.fleet;

import io.cherryspool.model.TaskId;
import io.cherryspool.model.WorkerHeartbeat;
import io.cherryspool.reachability.ContactState;
import java.time.Duration;
import java.util.Objects;
import java.util.Optional;

/**
 * What the heartbeats of one machine, and the replies to them, show of the contact with it during
 * one leader's term. Times are those of the event loop, on which alone it is used.
 */
public final class MachineContact {
  /** After one ignored reply the next heartbeat may merely have been sent before it came. */
  private static final int MAX_IGNORED_REPLIES = 1;

  private WorkerHeartbeat latestHeartbeat;
  private Duration lastHeartbeatAt;

  /** {@link #lastHeartbeatAt} when the machine was last probed, null before that. */
  private Duration heartbeatAtProbe;

  private boolean unresponsive;

  /**
   * When the present agent epoch was first seen. An epoch lives for a lease from its start even if
   * none of its heartbeats is answered, and it began before it was seen.
   */
  private Duration epochSince;

  private Duration lastReplyAt;

  /** The newest heartbeat that was answered, so that a late copy of it is recognised. */
  private long repliedEpoch;

  private long repliedSequence;

  /** The token of the last reply; a worker that received it sends no lower one. */
  private long repliedToken;

  private int ignoredReplies;
  private Duration notReceivingSince;

  /** Keeps the heartbeat if it is newer than any before; returns whether it is. */
  public boolean accept(WorkerHeartbeat heartbeat, Duration now) {
    if (latestHeartbeat != null && !heartbeat.isNewerThan(latestHeartbeat)) {
      return false;
    }
    if (latestHeartbeat == null || heartbeat.agentEpoch() > latestHeartbeat.agentEpoch()) {
      epochSince = now;
    }
    latestHeartbeat = heartbeat;
    lastHeartbeatAt = now;
    unresponsive = false;
    if (heartbeat.highestFencingToken() >= repliedToken) {
      ignoredReplies = 0;
      notReceivingSince = null;
    }
    return true;
  }

  /**
   * Records that this heartbeat is answered under the token; false if it was answered before, so
   * that it is a late copy: nobody waits for the reply, and it keeps nothing alive.
   *
   * <p>A worker has one heartbeat in flight, so the next one shows whether the reply before it came
   * through. A worker that receives no replies goes on sending and looks alive; it is recognised by
   * the token that it lacks.
   */
  public boolean recordReply(WorkerHeartbeat heartbeat, long token, Duration now) {
    boolean isCopy =
        heartbeat.agentEpoch() < repliedEpoch
            || (heartbeat.agentEpoch() == repliedEpoch && heartbeat.sequence() <= repliedSequence);
    if (isCopy) {
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

  /** Whether any heartbeat, sent by the machine itself or in reply to a call, came in this term. */
  public boolean hasHeartbeat() {
    return latestHeartbeat != null;
  }

  /**
   * The newest heartbeat, null before the first of this term. Not an {@link Optional}, since it is
   * read for every machine in every round.
   */
  public WorkerHeartbeat latestHeartbeat() {
    return latestHeartbeat;
  }

  /** When the newest heartbeat came, null before the first of this term. */
  public Duration lastHeartbeatAt() {
    return lastHeartbeatAt;
  }

  /** When a heartbeat was last answered, empty if none was. */
  public Optional<Duration> lastReplyAt() {
    return Optional.ofNullable(lastReplyAt);
  }

  /** Whether no heartbeat came within the time before now. */
  public boolean isSilent(Duration now, Duration limit) {
    return lastHeartbeatAt == null || now.minus(lastHeartbeatAt).compareTo(limit) > 0;
  }

  /** Whether the worker has acknowledged a token higher than this one. */
  public boolean hasTokenAbove(long token) {
    return latestHeartbeat != null && latestHeartbeat.highestFencingToken() > token;
  }

  /** How many replies in a row the worker has shown no sign of having received. */
  public int ignoredReplies() {
    return ignoredReplies;
  }

  /** For how long the worker has received no replies, empty while it is not known to lack any. */
  public Optional<Duration> notReceivingFor(Duration now) {
    return isNotReceiving() ? Optional.of(now.minus(notReceivingSince)) : Optional.empty();
  }

  private boolean isNotReceiving() {
    return ignoredReplies > MAX_IGNORED_REPLIES;
  }

  /** Whether it has not answered a probe, and sent no heartbeat since. */
  public boolean isUnresponsive() {
    return unresponsive;
  }

  /** Records that a probe was not answered. */
  public void markUnresponsive() {
    unresponsive = true;
  }

  /** Whether its last heartbeat came before that moment and it was not probed since. */
  public boolean isProbeDue(Duration lateSince) {
    return lastHeartbeatAt != null
        && !lastHeartbeatAt.equals(heartbeatAtProbe)
        && lastHeartbeatAt.compareTo(lateSince) < 0;
  }

  /** Records that a probe of the machine is planned. */
  public void recordProbe() {
    heartbeatAtProbe = lastHeartbeatAt;
  }

  /** Whether a heartbeat came since the machine was last to be probed. */
  public boolean hasHeartbeatSinceProbe() {
    return !Objects.equals(lastHeartbeatAt, heartbeatAtProbe);
  }

  /**
   * Since when nothing that this leader knows of has kept the agent epoch alive; null before the
   * first heartbeat.
   */
  public Duration lastLeaseRenewalAt() {
    boolean isEpochNewer =
        lastReplyAt == null || (epochSince != null && epochSince.compareTo(lastReplyAt) > 0);
    return isEpochNewer ? epochSince : lastReplyAt;
  }

  /**
   * How the leader stands with the machine.
   *
   * @param firstSeen when the leader learnt of the machine
   * @param lateSince what last came before this is late
   * @param termStart when the leader's term began, which answered nothing before
   */
  ContactState contactState(Duration firstSeen, Duration lateSince, Duration termStart) {
    if (latestHeartbeat == null) {
      return firstSeen.compareTo(lateSince) < 0 ? ContactState.NEVER_SEEN : ContactState.NEW;
    }
    if (isNotReceiving()) {
      return ContactState.NOT_RECEIVING;
    }
    if (lastHeartbeatAt.compareTo(lateSince) < 0) {
      return ContactState.SILENT;
    }
    Duration repliedAt = lastReplyAt == null ? termStart : lastReplyAt;
    return repliedAt.compareTo(lateSince) < 0 ? ContactState.LATE : ContactState.REACHABLE;
  }

  /** The task's attempt as the newest heartbeat has it; there must be one. */
  public Optional<WorkerHeartbeat.TaskStatus> findTask(TaskId task, int attempt) {
    for (WorkerHeartbeat.TaskStatus item : latestHeartbeat.tasks()) {
      if (item.attempt() == attempt && item.task().equals(task)) {
        return Optional.of(item);
      }
    }
    return Optional.empty();
  }
}
