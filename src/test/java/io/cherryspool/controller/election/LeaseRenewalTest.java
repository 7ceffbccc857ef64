package io.cherryspool.controller.election;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cherryspool.store.Records;
import org.junit.jupiter.api.Test;

/** How a lease is renewed while the state store refuses requests. */
class LeaseRenewalTest {
  private final ElectionFixture cluster = new ElectionFixture();

  /** Refused for three seconds of the four, right after a renewal or just before the next. */
  @Test
  void aLeaderThatIsRefusedForLessThanItsLeaseKeepsIt() {
    cluster.startAndLead();
    for (int i = 0; i < 10; i++) {
      cluster.transport().setUnavailable(true);
      cluster.run(3);
      cluster.transport().setUnavailable(false);
      cluster.run(1.5 + 0.05 * i);
      assertTrue(cluster.election().mayChangeFleet(), "refusal " + i);
    }
    assertEquals(1, cluster.stateStore().value(Records.TERM).path("term").intValue());
  }

  /** Four times in a second, the timeout of a call, instead of twice; and no more often. */
  @Test
  void aRefusedRenewalIsRetriedSoonAtABoundedRate() {
    cluster.startAndLead();
    cluster.transport().setUnavailable(true);
    long before = cluster.transport().sentCount("/extend");
    cluster.run(3);
    long renewals = cluster.transport().sentCount("/extend") - before;
    assertTrue(renewals >= 10 && renewals <= 14, renewals + " renewals in 3 s");
  }
}
