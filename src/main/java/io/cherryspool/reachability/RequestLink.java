package io.cherryspool.reachability;

import io.cherryspool.http.ObservedTransport;
import io.cherryspool.mesh.LinkState;
import java.time.Duration;
import java.util.Optional;

/**
 * A link whose state follows from the answers to this node's requests. Requests are ordered by the
 * time at which they were sent, because an answer that was delayed by seconds says nothing about
 * the present state of the link. Confined to the event loop.
 */
public final class RequestLink implements ObservedTransport.Observer {
  /**
   * The smallest number of failures since the last answer with which a link may be down; a single
   * failure may be chance.
   */
  private static final int MIN_FAILURES_FOR_DOWN = 2;

  private final Duration downAfter;
  private final FlapDamper damper;
  private Duration lastAnsweredRequestSentAt;
  private Duration failingSince;
  private int failures;

  /**
   * Creates a link that is up.
   *
   * @param downAfter how long requests must have failed without an answer for the link to be down
   * @param halfLife the time in which the penalty for flaps halves
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

  /** Returns the state of the link, as far as the requests so far show it. */
  public LinkState state(Duration now) {
    if (failingSince == null) {
      return LinkState.UP;
    }
    boolean isConfirmed = failures >= MIN_FAILURES_FOR_DOWN;
    boolean isLasting = now.minus(failingSince).compareTo(downAfter) >= 0;
    return isConfirmed && isLasting ? LinkState.DOWN : LinkState.SUSPECT;
  }

  /** Returns when the latest of the answered requests was sent; empty if none was answered. */
  Optional<Duration> lastAnsweredRequestSentAt() {
    return Optional.ofNullable(lastAnsweredRequestSentAt);
  }

  /** The damper that counts the link's flaps, one for each run of failures. */
  public FlapDamper damper() {
    return damper;
  }
}
