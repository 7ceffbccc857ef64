package io.cherryspool.model;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import io.cherryspool.http.Endpoint;
import io.cherryspool.model.WorkerHeartbeat.ExitCause;
import io.cherryspool.model.WorkerHeartbeat.TaskState;
import io.cherryspool.model.WorkerHeartbeat.TaskStatus;
import io.cherryspool.scheduler.ScalingPlanner;
import java.time.Duration;
import java.util.List;
import java.util.function.Supplier;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Tests that records with a hand-written {@code equals} compare every component. The test fails if
 * a component is added to a record without a variant that differs in it.
 */
class RecordEqualityTest {
  private static final TaskId TASK = new TaskId("req-000001", 3);
  private static final Resources RESOURCES = new Resources(4, 0, 8);
  private static final Duration BOOT_TIME = Duration.ofSeconds(50);
  private static final List<String> ZONES = List.of("a", "b");

  private static MachineType type(String name) {
    return new MachineType(name, RESOURCES, 30, 0.8, 0.27, 0.1, BOOT_TIME, ZONES);
  }

  private static Arguments record(Supplier<Record> original, Record... variants) {
    return Arguments.of(original, List.of(variants));
  }

  private static Stream<Arguments> tasksAndCommands() {
    return Stream.of(
        record(
            () -> new TaskId("req-000001", 3),
            new TaskId("req-000002", 3),
            new TaskId("req-000001", 4)),
        record(
            () -> WorkerCommand.stop(TASK, 2, BOOT_TIME),
            new WorkerCommand(WorkerCommand.Action.START, TASK, 2, BOOT_TIME),
            WorkerCommand.stop(new TaskId("req-000001", 4), 2, BOOT_TIME),
            WorkerCommand.stop(TASK, 3, BOOT_TIME),
            WorkerCommand.stop(TASK, 2, Duration.ZERO)),
        record(
            () -> new Attempt(1, "m", 2, 3, 4),
            new Attempt(9, "m", 2, 3, 4),
            new Attempt(1, "n", 2, 3, 4),
            new Attempt(1, "m", 9, 3, 4),
            new Attempt(1, "m", 2, 9, 4),
            new Attempt(1, "m", 2, 3, 9)),
        record(
            () -> new TaskStatus(TASK, 1, TaskState.EXITED, ExitCause.DONE),
            new TaskStatus(new TaskId("req-000001", 4), 1, TaskState.EXITED, ExitCause.DONE),
            new TaskStatus(TASK, 2, TaskState.EXITED, ExitCause.DONE),
            new TaskStatus(TASK, 1, TaskState.RUNNING, ExitCause.DONE),
            new TaskStatus(TASK, 1, TaskState.EXITED, null)));
  }

  private static Stream<Arguments> machinesAndAddresses() {
    return Stream.of(
        record(
            () -> new Endpoint("10.0.0.1", 80),
            new Endpoint("10.0.0.2", 80),
            new Endpoint("10.0.0.1", 81)),
        record(
            () -> new Resources(4, 0, 8),
            new Resources(5, 0, 8),
            new Resources(4, 1, 8),
            new Resources(4, 0, 9)),
        record(
            () -> type("box"),
            type("crate"),
            new MachineType("box", Resources.NONE, 30, 0.8, 0.27, 0.1, BOOT_TIME, ZONES),
            new MachineType("box", RESOURCES, 31, 0.8, 0.27, 0.1, BOOT_TIME, ZONES),
            new MachineType("box", RESOURCES, 30, 0.9, 0.27, 0.1, BOOT_TIME, ZONES),
            new MachineType("box", RESOURCES, 30, 0.8, 0.28, 0.1, BOOT_TIME, ZONES),
            new MachineType("box", RESOURCES, 30, 0.8, 0.27, 0.2, BOOT_TIME, ZONES),
            new MachineType("box", RESOURCES, 30, 0.8, 0.27, 0.1, Duration.ZERO, ZONES),
            new MachineType("box", RESOURCES, 30, 0.8, 0.27, 0.1, BOOT_TIME, List.of("a"))),
        record(
            () -> new ScalingPlanner.Offering(type("box"), "a", true),
            new ScalingPlanner.Offering(type("crate"), "a", true),
            new ScalingPlanner.Offering(type("box"), "b", true),
            new ScalingPlanner.Offering(type("box"), "a", false)));
  }

  @ParameterizedTest
  @MethodSource({"tasksAndCommands", "machinesAndAddresses"})
  void equalsComparesEveryComponent(Supplier<Record> original, List<Record> variants) {
    Record first = original.get();
    assertEquals(first, original.get());
    assertEquals(first.hashCode(), original.get().hashCode());
    assertNotEquals(first, null);
    assertEquals(first.getClass().getRecordComponents().length, variants.size());
    for (Record variant : variants) {
      assertNotEquals(first, variant);
      assertNotEquals(variant, first);
    }
  }
}
