package io.cherryspool.controller.metrics;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.cherryspool.scheduler.HoldCause;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.util.Map;
import org.junit.jupiter.api.Test;

/**
 * Tests that each cause has a gauge that shows the count of the last plan, and zero once the node
 * no longer leads.
 */
class HeldTasksTest {
  private final HeldTasks heldTasks = new HeldTasks();
  private final SimpleMeterRegistry registry = new SimpleMeterRegistry();

  private double value(HoldCause cause) {
    return registry.get("cherryspool.tasks.held").tag("cause", cause.label()).gauge().value();
  }

  @Test
  void eachCauseShowsItsCountUntilTheCountsAreCleared() {
    heldTasks.bindTo(registry);
    heldTasks.set(Map.of(HoldCause.OVER_QUOTA, 5, HoldCause.ZONE_CONSTRAINT, 2));
    assertEquals(5, value(HoldCause.OVER_QUOTA));
    assertEquals(2, value(HoldCause.ZONE_CONSTRAINT));
    assertEquals(0, value(HoldCause.NO_MACHINE));
    heldTasks.clear();
    assertEquals(0, value(HoldCause.OVER_QUOTA));
  }
}
