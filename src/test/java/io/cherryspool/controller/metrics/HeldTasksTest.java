package io.cherryspool.controller.metrics;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.cherryspool.scheduler.HoldCause;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** A gauge for each cause shows the last plan's count, and zero once the node plans no more. */
class HeldTasksTest {
  private final HeldTasks held = new HeldTasks();
  private final SimpleMeterRegistry registry = new SimpleMeterRegistry();

  private double value(HoldCause cause) {
    return registry.get("cherryspool.tasks.held").tag("cause", cause.label()).gauge().value();
  }

  @Test
  void eachCauseHasItsCount() {
    held.bindTo(registry);
    held.set(Map.of(HoldCause.OVER_QUOTA, 5, HoldCause.ZONE_CONSTRAINT, 2));
    assertEquals(5, value(HoldCause.OVER_QUOTA));
    assertEquals(2, value(HoldCause.ZONE_CONSTRAINT));
    assertEquals(0, value(HoldCause.NO_MACHINE));
    held.clear();
    assertEquals(0, value(HoldCause.OVER_QUOTA));
  }
}
