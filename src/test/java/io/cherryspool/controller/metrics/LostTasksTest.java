package io.cherryspool.controller.metrics;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.cherryspool.model.LossProof;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import org.junit.jupiter.api.Test;

/** Tests that lost tasks are counted by the proof of their loss. */
class LostTasksTest {
  @Test
  void eachProofHasItsOwnCount() {
    SimpleMeterRegistry registry = new SimpleMeterRegistry();
    LostTasks lostTasks = new LostTasks();
    lostTasks.increment(LossProof.LEASE_EXPIRED);
    lostTasks.bindTo(registry);
    lostTasks.increment(LossProof.LEASE_EXPIRED);
    lostTasks.increment(LossProof.MACHINE_DELETED);
    assertEquals(2, count(registry, LossProof.LEASE_EXPIRED));
    assertEquals(1, count(registry, LossProof.MACHINE_DELETED));
    assertEquals(0, count(registry, LossProof.LATER_AGENT_EPOCH));
  }

  private static double count(SimpleMeterRegistry registry, LossProof proof) {
    return registry
        .get("cherryspool.tasks.lost")
        .tag("proof", proof.label())
        .functionCounter()
        .count();
  }
}
