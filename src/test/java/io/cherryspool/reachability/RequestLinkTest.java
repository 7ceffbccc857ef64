package io.cherryspool.reachability;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.cherryspool.mesh.LinkState;
import java.time.Duration;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Tests how the state of a link follows from the answers and failures of requests. */
class RequestLinkTest {
  private final RequestLink link = new RequestLink(Duration.ofSeconds(1), Duration.ofSeconds(60));

  private static Duration at(double seconds) {
    return Duration.ofMillis((long) (seconds * 1000));
  }

  @Test
  void aSingleFailureDoesNotTakeTheLinkDown() {
    link.onAnswer(at(1));
    link.onFailure(at(2), at(3));
    assertEquals(
        LinkState.SUSPECT, link.state(at(9)), "a single failure makes the link suspect at most");
    assertEquals(0, link.damper().flapCount());
    link.onAnswer(at(2.5));
    assertEquals(LinkState.UP, link.state(at(9)));
  }

  @Test
  void lastingFailuresTakeTheLinkDown() {
    link.onAnswer(at(1));
    link.onFailure(at(2), at(2.1));
    link.onFailure(at(2.3), at(2.4));
    assertEquals(LinkState.SUSPECT, link.state(at(2.9)));
    assertEquals(LinkState.DOWN, link.state(at(3)));
    assertEquals(1, link.damper().flapCount(), "a run of failures counts as one flap");
    link.onFailure(at(3), at(3.1));
    assertEquals(1, link.damper().flapCount());
    link.onAnswer(at(3.4));
    assertEquals(LinkState.UP, link.state(at(3.5)), "the first answer takes the link up");
  }

  /** A network cut may delay answers for seconds, so that they arrive during the next cut. */
  @Test
  void anAnswerToARequestSentBeforeTheFailureChangesNothing() {
    link.onFailure(at(2), at(2.1));
    link.onFailure(at(2.3), at(2.4));
    link.onAnswer(at(1));
    assertEquals(LinkState.DOWN, link.state(at(4)));
    assertEquals(Optional.of(at(1)), link.lastAnsweredRequestSentAt());
  }

  /** Requests may time out in a different order than answers arrive. */
  @Test
  void aLateFailureOfAnOldRequestChangesNothingAfterANewerAnswer() {
    link.onAnswer(at(5));
    link.onFailure(at(4), at(6));
    link.onFailure(at(4.5), at(6));
    assertEquals(LinkState.UP, link.state(at(9)));
  }
}
