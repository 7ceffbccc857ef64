package io.cherryspool.controller.election;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cherryspool.store.Records;
import org.junit.jupiter.api.Test;

/** Tests the renewal of a lease while the state store refuses requests. */
class LeaseRenewalTest {
  private final ElectionFixture fixture = new ElectionFixture();

  /**
   * Requests are refused for 3 s of a lease of 4 s, beginning at different times after a renewal.
   */
  @Test
  void aLeaderKeepsItsLeaseIfRequestsAreRefusedForLessThanItsLength() {
    fixture.startAndLead();
    for (int i = 0; i < 10; i++) {
      fixture.transport().setUnavailable(true);
      fixture.runFor(3);
      fixture.transport().setUnavailable(false);
      fixture.runFor(1.5 + 0.05 * i);
      assertTrue(fixture.election().mayChangeFleet(), "refusal " + i);
    }
    assertEquals(1, fixture.stateStore().value(Records.TERM).path("term").intValue());
  }

  /**
   * While renewals are refused, the leader sends four of them, instead of two, within the call
   * timeout of 1 s. It must not send more.
   */
  @Test
  void aRefusedRenewalIsRetriedEarlyAtABoundedRate() {
    fixture.startAndLead();
    fixture.transport().setUnavailable(true);
    long before = fixture.transport().sentCount("/extend");
    fixture.runFor(3);
    long renewals = fixture.transport().sentCount("/extend") - before;
    assertTrue(renewals >= 10 && renewals <= 14, renewals + " renewals in 3 s");
  }
}
