package io.cherryspool.reachability;

import io.cherryspool.http.ObservedTransport;
import io.cherryspool.mesh.LinkState;
import java.time.Duration;
import java.util.Optional;

/**
 * A link whose state is known by the answers to this node's requests. Requests are ordered by when
 * they were sent, because an answer that was delayed by seconds tells nothing of the link as it is
 * now. Confined to the event loop.
 */
public final class RequestLink implements ObservedTransport.Observer {
  /** A single lost answer is chance. */
  private static final int MIN_FAILURES_FOR_DOWN = 2;

  private final Duration downAfter;
  private final FlapDamper damper;
  private Duration lastAnsweredRequestSentAt;
  private Duration failingSince;
  private int failures;

  /**
   * A link that is up.
   *
   * @param downAfter how long all requests must have failed for the link to be down
   * @param halfLife in what time the penalty for flaps halves
   */
  public RequestLink(Duration downAfter, Duration halfLife) {
    this.downAfter = downAfter;
    this.damper = new FlapDamper(halfLife);
  }

  @Override
  public void onAnswer(Duration sentAt) {
    if (lastAnsweredRequestSentAt == null || sentAt.compareTo(lastAnsweredRequestSentAt) > 0) {
      lastAnsweredRequestSentAt = sentAt;
    }
    if (failingSince != null && sentAt.compareTo(failingSince) > 0) {
      failingSince = null;
      failures = 0;
    }
  }

  @Override
  public void onFailure(Duration sentAt, Duration now) {
    if (lastAnsweredRequestSentAt != null && sentAt.compareTo(lastAnsweredRequestSentAt) <= 0) {
      return;
    }
    if (failingSince == null || sentAt.compareTo(failingSince) < 0) {
      failingSince = sentAt;
    }
    failures++;
    if (failures == MIN_FAILURES_FOR_DOWN) {
      damper.recordFlap(now);
    }
  }

  /** What the requests so far tell of the link. */
  public LinkState state(Duration now) {
    if (failingSince == null) {
      return LinkState.UP;
    }
    boolean isConfirmed = failures >= MIN_FAILURES_FOR_DOWN;
    boolean isLasting = now.minus(failingSince).compareTo(downAfter) >= 0;
    return isConfirmed && isLasting ? LinkState.DOWN : LinkState.SUSPECT;
  }

  /** When the latest request that was answered was sent; empty if none was. */
  Optional<Duration> lastAnsweredRequestSentAt() {
    return Optional.ofNullable(lastAnsweredRequestSentAt);
  }

  /** How often the link failed lately. */
  public FlapDamper damper() {
    return damper;
  }
}
