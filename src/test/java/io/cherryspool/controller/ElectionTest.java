package io.cherryspool.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cherryspool.http.Endpoint;
import io.cherryspool.sim.StandInState;
import io.cherryspool.sim.StateServiceTransport;
import io.cherryspool.sim.VirtualTime;
import io.cherryspool.store.RateLimiter;
import io.cherryspool.store.Records;
import io.cherryspool.store.Replica;
import io.cherryspool.store.StateClient;
import java.time.Duration;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Which term a candidate stands for, and what a lost lease tells. */
class ElectionTest {
  private static final Duration CALL = Duration.ofSeconds(1);

  private final VirtualTime time = new VirtualTime();
  private final StandInState state = new StandInState(time, new SplittableRandom(1), 0);
  private final StateServiceTransport line = new StateServiceTransport(time, state);
  private final RateLimiter rateLimiter = new RateLimiter(time, 1, 1000, 1000);
  private final StateClient client =
      new StateClient(time, rateLimiter, line, new Endpoint("127.0.0.1", 1), CALL);
  private final Replica replica =
      new Replica(time, client, rateLimiter, Duration.ofMillis(5), CALL.dividedBy(2));
  private final Election election =
      new Election(
          time,
          client,
          rateLimiter,
          replica,
          new SplittableRandom(3),
          new Timings(
              Duration.ofMillis(2500),
              Duration.ofSeconds(4),
              Duration.ofSeconds(17),
              Duration.ofSeconds(4),
              CALL,
              CALL,
              CALL),
          "node-0",
          "life-1");

  private void run(double seconds) {
    Duration end = time.now().plusMillis((long) (seconds * 1000));
    while (time.step(end)) {
      // Each step may schedule more.
    }
  }

  private void begin() {
    replica.start();
    election.onChange(() -> {});
    election.start();
    run(3);
    assertTrue(election.leading());
  }

  /**
   * After records were lost a worker may show a term that nobody remembers. One election for each
   * term in between would leave its tasks without a leader for longer than its lease.
   */
  @Test
  void aCandidateStandsForATermAboveAllThatItHasHeardOf() {
    begin();
    election.hear(40);
    assertFalse(election.leading(), "a later leader is about");
    election.stop();
    run(1);
    election.start();
    run(3);
    assertTrue(election.leading());
    assertEquals(41, state.peek(Records.TERM).path("term").intValue());
  }

  /** A lease ends early only where the service has forgotten that it was renewed. */
  @Test
  void aLeaseThatIsForgottenEarlyIsToldAndOneThatRanOutIsNot() {
    int[] early = {0};
    election.onLeaseEndedEarly(() -> early[0]++);
    begin();
    state.loseAll();
    run(1.5);
    assertEquals(1, early[0]);
    run(3);
    state.setDown(true);
    run(20);
    state.setDown(false);
    run(5);
    assertEquals(1, early[0], "an outage ends no lease early");
  }
}
