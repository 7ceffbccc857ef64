package io.cherryspool.controller.election;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cherryspool.controller.timing.Timings;
import io.cherryspool.http.Endpoint;
import io.cherryspool.reachability.Reachability;
import io.cherryspool.reachability.ReachabilityFixture;
import io.cherryspool.sim.fakes.ControlledTransport;
import io.cherryspool.sim.fakes.FakeStateStore;
import io.cherryspool.sim.time.VirtualTime;
import io.cherryspool.store.RateLimiter;
import io.cherryspool.store.Records;
import io.cherryspool.store.Replica;
import io.cherryspool.store.StateStoreClient;
import java.time.Duration;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Which term a candidate stands for, and what a lost lease tells. */
class ElectionTest {
  private static final Duration CALL = Duration.ofSeconds(1);

  private final VirtualTime time = new VirtualTime();
  private final FakeStateStore state = new FakeStateStore(time, new SplittableRandom(1), 0);
  private final ControlledTransport line = new ControlledTransport(time, state);
  private final RateLimiter rateLimiter = new RateLimiter(time, 1, 1000, 1000);
  private final StateStoreClient client =
      new StateStoreClient(time, rateLimiter, line, new Endpoint("127.0.0.1", 1), CALL);
  private final Replica replica =
      new Replica(time, client, rateLimiter, Duration.ofMillis(5), CALL.dividedBy(2));
  private final Reachability reachability =
      ReachabilityFixture.reachability("node-0", List.of("node-1"));
  private final Election election =
      new Election(
          time,
          client,
          rateLimiter,
          replica,
          new SplittableRandom(3),
          new Timings(
              Duration.ofMillis(2500),
              Duration.ofSeconds(12),
              Duration.ofSeconds(17),
              Duration.ofSeconds(4),
              CALL,
              CALL,
              CALL),
          "node-0",
          "life-1",
          reachability);

  private void run(double seconds) {
    Duration end = time.now().plusMillis((long) (seconds * 1000));
    while (time.runNextEvent(end)) {
      // Each step may schedule more.
    }
  }

  private void begin() {
    replica.start();
    election.onLeadershipChange(() -> {});
    election.start();
    run(3);
    assertTrue(election.isLeader());
  }

  /**
   * After records were lost a worker may show a term that nobody remembers. One election for each
   * term in between would leave its tasks without a leader for longer than its lease.
   */
  @Test
  void aCandidateStandsForATermAboveAllThatItHasHeardOf() {
    begin();
    election.observeTerm(40);
    assertFalse(election.isLeader(), "a later leader is about");
    election.stop();
    run(1);
    election.start();
    run(3);
    assertTrue(election.isLeader());
    assertEquals(41, state.value(Records.TERM).path("term").intValue());
  }

  /** A lease ends early only where the service has forgotten that it was renewed. */
  @Test
  void aLeaseThatIsForgottenEarlyIsToldAndOneThatRanOutIsNot() {
    int[] early = {0};
    election.onPrematureLeaseExpiry(() -> early[0]++);
    begin();
    state.loseAllData();
    run(1.5);
    assertEquals(1, early[0]);
    run(3);
    state.setDown(true);
    run(20);
    state.setDown(false);
    run(5);
    assertEquals(1, early[0], "an outage ends no lease early");
  }

  /** Refused for three seconds of the four, right after a renewal or just before the next. */
  @Test
  void aLeaderThatIsRefusedForLessThanItsLeaseKeepsIt() {
    begin();
    for (int i = 0; i < 10; i++) {
      line.setRefusing(true);
      run(3);
      line.setRefusing(false);
      run(1.5 + 0.05 * i);
      assertTrue(election.mayChangeFleet(), "refusal " + i);
    }
    assertEquals(1, state.value(Records.TERM).path("term").intValue());
  }

  /** Four times in the second of a call, instead of twice; and no more often than that. */
  @Test
  void aRefusedRenewalIsTriedAgainSoonAtABoundedRate() {
    begin();
    line.setRefusing(true);
    long before = line.sentCount("/extend");
    run(3);
    long tries = line.sentCount("/extend") - before;
    assertTrue(tries >= 10 && tries <= 14, tries + " renewals in 3 s");
  }

  /** After leaders were lost again and again the lease is longer, and later as long as before. */
  @Test
  void aLeaderTakesALongerLeaseAndLaterAShorterOneWithoutLosingItsTerm() {
    begin();
    long lease = underLease();
    for (int i = 0; i < 3; i++) {
      reachability.recordLeadershipLoss(time.now());
    }
    run(2);
    assertTrue(underLease() != lease, "the record is under another lease");
    assertTrue(election.mayChangeFleet());
    line.setRefusing(true);
    run(10);
    assertTrue(election.mayChangeFleet(), "a lease of 12 s outlasts a refusal of 10 s");
    line.setRefusing(false);
    for (int i = 0; i < 400; i++) {
      run(1);
      assertTrue(election.mayChangeFleet(), "while the penalty heals");
    }
    line.setRefusing(true);
    run(4.2);
    assertFalse(election.mayChangeFleet(), "as short as at first");
    assertEquals(1, state.value(Records.TERM).path("term").intValue());
  }

  /** The transaction that moves the record is carried out, and its answer is lost. */
  @Test
  void aLostAnswerToTheMoveOfTheRecordChangesNothing() {
    begin();
    for (int i = 0; i < 3; i++) {
      reachability.recordLeadershipLoss(time.now());
    }
    line.interceptNext(ControlledTransport.COMMIT, ControlledTransport.Fate.LOSE_ANSWER);
    line.interceptNext(ControlledTransport.COMMIT, ControlledTransport.Fate.HOLD_REQUEST);
    for (int i = 0; i < 80; i++) {
      run(0.1);
      assertTrue(election.isLeader() && election.mayChangeFleet());
    }
    line.release(ControlledTransport.COMMIT);
    run(5);
    assertTrue(election.mayChangeFleet());
    assertEquals(1, state.value(Records.TERM).path("term").intValue());
  }

  /**
   * The record is moved to a shorter lease, and nothing tells this node so: it may be gone with
   * that lease, and another lead, while the old lease still holds.
   */
  @Test
  void whileTheRecordMayBeUnderEitherLeaseBothAreNeeded() {
    for (int i = 0; i < 40; i++) {
      line.interceptNext(ControlledTransport.WATCH, ControlledTransport.Fate.HOLD_ANSWER);
    }
    begin();
    for (int i = 0; i < 3; i++) {
      reachability.recordLeadershipLoss(time.now());
    }
    run(2);
    long longest = underLease();
    Duration end = time.now().plusSeconds(120);
    while (underLease() == longest && time.runNextEvent(end)) {
      // One message at a time, so that this node does not read of the move.
    }
    assertTrue(underLease() != longest, "the lease becomes shorter again");
    line.setRefusing(true);
    assertTrue(election.mayChangeFleet());
    run(8.2);
    assertFalse(election.mayChangeFleet());
  }

  private long underLease() {
    return state.value(Records.LEADER).path("lease").longValue();
  }
}
