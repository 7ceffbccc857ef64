package io.cherryspool.reachability;

import io.cherryspool.http.ObservedTransport;
import io.cherryspool.mesh.LinkState;
import java.time.Duration;

/**
 * A link that is known by the answers to this node's requests. Requests are ordered by when they
 * were sent, since an answer that was held up for seconds says nothing of the link as it is now.
 */
public final class RequestLink implements ObservedTransport.Observer {
  /** A single lost answer is chance. */
  private static final int CONFIRMING_FAILURES = 2;

  private final Duration downAfter;
  private final FlapDamper damper;
  private Duration lastAnsweredRequestSentAt;
  private Duration failingSince;
  private int failures;

  /**
   * @param downAfter how long all requests must have failed for the link to be down
   * @param halfLife of the penalty for flaps
   */
  public RequestLink(Duration downAfter, Duration halfLife) {
    this.downAfter = downAfter;
    this.damper = new FlapDamper(halfLife);
  }

  @Override
  public void answered(Duration sent) {
    if (lastAnsweredRequestSentAt == null || sent.compareTo(lastAnsweredRequestSentAt) > 0) {
      lastAnsweredRequestSentAt = sent;
    }
    if (failingSince != null && sent.compareTo(failingSince) > 0) {
      failingSince = null;
      failures = 0;
    }
  }

  @Override
  public void failed(Duration sent, Duration now) {
    if (lastAnsweredRequestSentAt != null && sent.compareTo(lastAnsweredRequestSentAt) <= 0) {
      return;
    }
    if (failingSince == null || sent.compareTo(failingSince) < 0) {
      failingSince = sent;
    }
    failures++;
    if (failures == CONFIRMING_FAILURES) {
      damper.recordFlap(now);
    }
  }

  /** What the requests so far say of the link. */
  public LinkState state(Duration now) {
    if (failingSince == null) {
      return LinkState.UP;
    }
    boolean confirmed = failures >= CONFIRMING_FAILURES;
    boolean lasting = now.minus(failingSince).compareTo(downAfter) >= 0;
    return confirmed && lasting ? LinkState.DOWN : LinkState.SUSPECT;
  }

  /** When the last request that was answered was sent, null before the first. */
  public Duration lastAnsweredRequestSentAt() {
    return lastAnsweredRequestSentAt;
  }

  /** How often the link failed lately. */
  public FlapDamper damper() {
    return damper;
  }
}
