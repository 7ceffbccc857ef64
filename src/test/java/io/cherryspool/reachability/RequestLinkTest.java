package io.cherryspool.reachability;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.cherryspool.mesh.LinkState;
import java.time.Duration;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** What answers and failures of requests say of a link. */
class RequestLinkTest {
  private final RequestLink link = new RequestLink(Duration.ofSeconds(1), Duration.ofSeconds(60));

  private static Duration at(double seconds) {
    return Duration.ofMillis((long) (seconds * 1000));
  }

  @Test
  void oneLostAnswerIsChance() {
    link.onAnswer(at(1));
    link.onFailure(at(2), at(3));
    assertEquals(LinkState.SUSPECT, link.state(at(9)), "one failure is never more than doubt");
    assertEquals(0, link.damper().flapCount());
    link.onAnswer(at(2.5));
    assertEquals(LinkState.UP, link.state(at(9)));
  }

  @Test
  void failuresThatLastTakeTheLinkDown() {
    link.onAnswer(at(1));
    link.onFailure(at(2), at(2.1));
    link.onFailure(at(2.3), at(2.4));
    assertEquals(LinkState.SUSPECT, link.state(at(2.9)));
    assertEquals(LinkState.DOWN, link.state(at(3)));
    assertEquals(1, link.damper().flapCount(), "one for each run of failures");
    link.onFailure(at(3), at(3.1));
    assertEquals(1, link.damper().flapCount());
    link.onAnswer(at(3.4));
    assertEquals(LinkState.UP, link.state(at(3.5)), "the first answer ends it");
  }

  /** A cut may hold answers for seconds, and lets them go in the middle of the next one. */
  @Test
  void anAnswerToARequestSentBeforeTheFailureChangesNothing() {
    link.onFailure(at(2), at(2.1));
    link.onFailure(at(2.3), at(2.4));
    link.onAnswer(at(1));
    assertEquals(LinkState.DOWN, link.state(at(4)));
    assertEquals(Optional.of(at(1)), link.lastAnsweredRequestSentAt());
  }

  /** Deadlines run out in another order than answers come. */
  @Test
  void aLateFailureOfAnOldRequestChangesNothingAfterANewerAnswer() {
    link.onAnswer(at(5));
    link.onFailure(at(4), at(6));
    link.onFailure(at(4.5), at(6));
    assertEquals(LinkState.UP, link.state(at(9)));
  }
}
