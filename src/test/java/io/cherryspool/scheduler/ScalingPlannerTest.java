package io.cherryspool.scheduler;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.cherryspool.model.Job;
import io.cherryspool.model.JobFixture;
import io.cherryspool.model.MachineType;
import io.cherryspool.model.Priority;
import io.cherryspool.model.Resources;
import io.cherryspool.scheduler.ScalingPlanner.ActiveMachine;
import io.cherryspool.scheduler.ScalingPlanner.Decision;
import io.cherryspool.scheduler.ScalingPlanner.FleetView;
import io.cherryspool.scheduler.ScalingPlanner.JobDemand;
import io.cherryspool.scheduler.ScalingPlanner.Offering;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Tests that the fleet follows the demand: the cheapest sufficient machines, and none beyond the
 * demand.
 */
class ScalingPlannerTest {
  private static final MachineType SMALL = type("small", 4);
  private static final MachineType LARGE = type("large", 16);
  private static final Offering SMALL_SPOT = new Offering(SMALL, "a", true);
  private static final Offering LARGE_SPOT = new Offering(LARGE, "a", true);
  private static final Offering LARGE_ON_DEMAND = new Offering(LARGE, "a", false);
  private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(60);

  /**
   * Returns a machine type that boots in 30 s. An on-demand CPU costs 1 and a spot CPU 0.5, and
   * slightly less in the larger type.
   */
  private static MachineType type(String name, double cpus) {
    double price = cpus == 16 ? 15 : cpus;
    return new MachineType(
        name,
        new Resources(cpus, 0, cpus * 4),
        10,
        0.5,
        price,
        price / 2,
        Duration.ofSeconds(30),
        List.of("a"));
  }

  /** Returns a job of twenty tasks with four CPUs each. */
  private static Job job() {
    return JobFixture.job("req-000001", Priority.NORMAL, 20, 4);
  }

  private static FleetView view(
      List<RoundPlan.TaskGroup> unschedulable,
      List<ActiveMachine> machines,
      List<JobDemand> demands,
      Set<Offering> unavailable) {
    return new FleetView(
        Instant.EPOCH,
        unschedulable,
        List.of(),
        List.of(),
        machines,
        demands,
        List.of(SMALL, LARGE),
        unavailable,
        IDLE_TIMEOUT);
  }

  private static Map<Offering, Integer> scaleOutForTasks(
      double waitingCpuSeconds, Offering... unavailable) {
    return ScalingPlanner.decide(
            view(
                List.of(new RoundPlan.TaskGroup(job(), 20)),
                List.of(),
                List.of(new JobDemand(job(), 0, 0, waitingCpuSeconds)),
                Set.of(unavailable)))
        .scaleOut();
  }

  /** Expects as many machines of 16 CPUs as complete the work in the backlog drain time of 45 s. */
  @ParameterizedTest
  @CsvSource({"45, 1", "720, 1", "721, 2", "1440, 2", "1441, 3", "10000, 5"})
  void machinesAreRequestedForWorkThatWouldExceedTheBacklogDrainTime(
      double cpuSeconds, int machines) {
    assertEquals(Map.of(LARGE_SPOT, machines), scaleOutForTasks(cpuSeconds));
  }

  @Test
  void nextCheapestOfferingIsRequestedWhenTheCheapestIsUnavailable() {
    assertEquals(Map.of(SMALL_SPOT, 1), scaleOutForTasks(45, LARGE_SPOT));
  }

  @Test
  void nothingIsRequestedWhenNoOfferingIsAvailable() {
    assertEquals(
        Map.of(),
        scaleOutForTasks(
            45, SMALL_SPOT, LARGE_SPOT, LARGE_ON_DEMAND, new Offering(SMALL, "a", false)));
  }

  @Test
  void oneSpotInstanceAtATimeReplacesNeededOnDemandInstances() {
    List<ActiveMachine> machines =
        List.of(
            new ActiveMachine("host-1", LARGE_ON_DEMAND, 16, null),
            new ActiveMachine("host-2", LARGE_ON_DEMAND, 16, null));
    Decision decision =
        ScalingPlanner.decide(
            view(List.of(), machines, List.of(new JobDemand(job(), 30, 0, 0)), Set.of()));
    assertEquals(new Decision(Map.of(LARGE_SPOT, 1), List.of(), Set.of()), decision);
  }

  @Test
  void mostExpensiveMachinesBeyondTheDemandAreDrained() {
    List<ActiveMachine> machines =
        List.of(
            new ActiveMachine("host-1", LARGE_SPOT, 16, null),
            new ActiveMachine("host-2", LARGE_ON_DEMAND, 16, null),
            new ActiveMachine("host-3", LARGE_ON_DEMAND, 4, null));
    Decision decision =
        ScalingPlanner.decide(
            view(List.of(), machines, List.of(new JobDemand(job(), 24, 0, 0)), Set.of()));
    assertEquals(Set.of("host-3"), decision.draining());
  }

  /**
   * Without demand the machine is draining, which shortens the idle time after which it is deleted.
   */
  @ParameterizedTest
  @CsvSource({
    "true,  false, false, 119, false",
    "true,  false, false, 120, true",
    "false, false, false, 14,  false",
    "false, false, false, 15,  true",
    "true,  true,  false, 239, false",
    "true,  true,  false, 240, true",
    "true,  true,  true,  59,  false",
    "true,  true,  true,  60,  true"
  })
  void idleTimeBeforeDeletionDependsOnSpotAndDemand(
      boolean isSpot,
      boolean isNeeded,
      boolean isWorkUnschedulable,
      int idleSeconds,
      boolean isDeleted) {
    Offering offering = isSpot ? LARGE_SPOT : LARGE_ON_DEMAND;
    List<RoundPlan.TaskGroup> unschedulable =
        isWorkUnschedulable ? List.of(new RoundPlan.TaskGroup(job(), 1)) : List.of();
    Decision decision =
        ScalingPlanner.decide(
            view(
                unschedulable,
                List.of(new ActiveMachine("host-1", offering, 0, Duration.ofSeconds(idleSeconds))),
                isNeeded ? List.of(new JobDemand(job(), 10, 0, 0)) : List.of(),
                Set.of()));
    assertEquals(isDeleted ? List.of("host-1") : List.of(), decision.scaleIn());
  }

  /**
   * A job that fits no machine type may have been accepted before the types were known or when
   * there were other types. Such a job once caused requests of instances for running tasks that did
   * not need them. This was found by code review.
   */
  @Test
  void jobThatFitsNoMachineTypeCausesNoRequestsForRunningTasks() {
    Job impossible = JobFixture.job("req-000002", Priority.NORMAL, 1, 100);
    Job running = JobFixture.job("req-000003", Priority.NORMAL, 4, 1);
    FleetView view =
        new FleetView(
            Instant.EPOCH,
            List.of(new RoundPlan.TaskGroup(impossible, 1)),
            List.of(new RoundPlan.TaskGroup(running, 4)),
            List.of(),
            List.of(new ActiveMachine("host-1", LARGE_SPOT, 4, null)),
            List.of(new JobDemand(impossible, 0, 0, 3000), new JobDemand(running, 4, 0, 0)),
            List.of(SMALL, LARGE),
            Set.of(),
            IDLE_TIMEOUT);
    assertEquals(Map.of(), ScalingPlanner.decide(view).scaleOut());
  }
}
