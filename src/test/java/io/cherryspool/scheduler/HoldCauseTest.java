package io.cherryspool.scheduler;

import static io.cherryspool.model.JobFixture.job;
import static io.cherryspool.scheduler.ClusterFixture.TEAM_WITHOUT_QUOTA;
import static io.cherryspool.scheduler.ClusterFixture.notStarted;
import static org.junit.jupiter.api.Assertions.assertEquals;

import io.cherryspool.model.Job;
import io.cherryspool.model.JobFixture;
import io.cherryspool.model.MachineType;
import io.cherryspool.model.Priority;
import io.cherryspool.model.Resources;
import io.cherryspool.model.Team;
import io.cherryspool.scheduler.ClusterView.JobView;
import io.cherryspool.scheduler.ClusterView.MachineView;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Tests the cause that a plan reports for each pending task that it does not place. */
class HoldCauseTest {
  private static final MachineType TYPE =
      new MachineType(
          "box", new Resources(8, 0, 32), 50, 1, 1, 0.5, Duration.ofSeconds(50), List.of("a", "b"));
  private static final int NOW_SECONDS = 200;
  private static final Duration MAX_START_DELAY = Duration.ofSeconds(150);

  private final List<EntryDecision> decisions = new ArrayList<>();

  private Map<HoldCause, Integer> heldTasks(
      List<JobView> jobs, List<MachineView> machines, Team team) {
    return PlacementPlanner.plan(
            ClusterFixture.view(NOW_SECONDS, MAX_START_DELAY, jobs, machines, team, Map.of(), TYPE),
            decisions::add)
        .heldTasks();
  }

  private static MachineView machine(String zone, double freeCpus, Set<String> excludedJobs) {
    return new MachineView(
        "host-" + zone,
        TYPE,
        zone,
        false,
        false,
        new Resources(freeCpus, 0, 32),
        Set.of(),
        excludedJobs,
        List.of());
  }

  private static JobView started(Job job) {
    return new JobView(job, ClusterFixture.pendingTasks(0, job.taskCount()), Map.of(), 0, true);
  }

  @Test
  void causeIsOverQuotaForTasksBeyondTheTeamsQuota() {
    Job job = job("req-000001", Priority.NORMAL, 5, 2);
    assertEquals(
        Map.of(HoldCause.OVER_QUOTA, 3),
        heldTasks(
            List.of(started(job)),
            List.of(machine("a", 8, Set.of())),
            new Team("red", 0, 4, 0, 0)));
    assertEquals(
        List.of(new EntryDecision("req-000001", false, 2, 3, 0, Optional.empty())), decisions);
  }

  @Test
  void causeIsNoMachineIfNoMachineHasRoom() {
    Job job = job("req-000001", Priority.NORMAL, 2, 4);
    Job smaller = job("req-000002", Priority.LOW, 2, 4);
    assertEquals(
        Map.of(HoldCause.NO_MACHINE, 3),
        heldTasks(
            List.of(started(job), started(smaller)),
            List.of(machine("a", 4, Set.of())),
            TEAM_WITHOUT_QUOTA));
  }

  @Test
  void causeIsReservedMachineIfTheMachineWithRoomIsReserved() {
    Job large = job("req-000001", Priority.NORMAL, 1, 8);
    Job small = job("req-000002", Priority.HIGH, 3, 2);
    assertEquals(
        Map.of(HoldCause.NO_MACHINE, 1, HoldCause.RESERVED_MACHINE, 3),
        heldTasks(
            List.of(notStarted(large), started(small)),
            List.of(machine("a", 7, Set.of())),
            TEAM_WITHOUT_QUOTA));
  }

  @Test
  void causeIsExcludedMachineIfTheJobFailedOnTheMachineWithRoom() {
    Job job = job("req-000001", Priority.NORMAL, 2, 2);
    assertEquals(
        Map.of(HoldCause.EXCLUDED_MACHINE, 2),
        heldTasks(
            List.of(started(job)),
            List.of(machine("a", 8, Set.of("req-000001"))),
            TEAM_WITHOUT_QUOTA));
  }

  @Test
  void causeIsZoneConstraintIfTheZoneOfTheOtherTasksIsFull() {
    Job sameZone =
        JobFixture.builderFrom(job("req-000001", Priority.NORMAL, 4, 4))
            .withSingleZoneRequired()
            .build();
    assertEquals(
        Map.of(HoldCause.ZONE_CONSTRAINT, 2),
        heldTasks(
            List.of(started(sameZone)),
            List.of(machine("a", 8, Set.of()), machine("b", 8, Set.of())),
            TEAM_WITHOUT_QUOTA));
  }
}
