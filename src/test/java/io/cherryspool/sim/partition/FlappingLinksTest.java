package io.cherryspool.sim.partition;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Links that fail every few seconds, at whichever node leads. On the sources before, refusals of 3
 * s by the state store in every 6 s changed the leader with nearly every flap.
 */
class FlappingLinksTest {
  /** The most changes of leader in a minute that flapping links may cause. */
  private static final int MOST_CHANGES = 4;

  @ParameterizedTest
  @EnumSource
  void theLeaderRarelyChangesWhateverFlaps(LinkFlapRun.Link link) {
    long seed = 1;
    for (double seconds : new double[] {0.5, 1, 2, 3, 5, 10}) {
      seed++;
      LinkFlapRun.Cost cost =
          LinkFlapRun.run(seed, link, Duration.ofMillis((long) (seconds * 1000)));
      String what = link + " for " + seconds + " s, seed " + seed + ": " + cost;
      assertTrue(cost.maxLeaderChangesPerMinute() <= MOST_CHANGES, what);
    }
  }

  /**
   * A leader that is refused for less than its lease, by three renewals' time, keeps it. With four
   * renewals in a lease and no retry before the next one, as before, the leader changes.
   */
  @ParameterizedTest
  @CsvSource({
    "STATE_REFUSED,0.5", "STATE_REFUSED,1", "STATE_REFUSED,2", "STATE_REFUSED,3",
    "STATE_SILENT,0.5", "STATE_SILENT,1", "STATE_SILENT,2", "PEERS,10"
  })
  void aShortFlapCostsNoLeadership(LinkFlapRun.Link link, double seconds) {
    for (long seed = 1; seed <= 3; seed++) {
      LinkFlapRun.Cost cost =
          LinkFlapRun.run(seed, link, Duration.ofMillis((long) (seconds * 1000)));
      assertEquals(0, cost.leaderChanges(), link + " for " + seconds + " s, seed " + seed);
    }
  }

  /**
   * Users of a node whose readings fail or hang are served through another. On the sources before,
   * about twenty requests in two minutes were not served. That a request is passed on while a
   * reading hangs and no call has failed yet does not show here: without it the test passes too.
   */
  @ParameterizedTest
  @CsvSource({"STATE_REFUSED,1", "STATE_REFUSED,2", "STATE_SILENT,1", "STATE_SILENT,2"})
  void usersHardlyNoticeAFlap(LinkFlapRun.Link link, double seconds) {
    for (long seed = 1; seed <= 2; seed++) {
      LinkFlapRun.Cost cost =
          LinkFlapRun.run(seed, link, Duration.ofMillis((long) (seconds * 1000)));
      assertTrue(
          cost.unservedRequests() <= 5,
          link + " for " + seconds + " s, seed " + seed + ": " + cost);
    }
  }
}
