package io.cherryspool.scheduler;

import io.cherryspool.model.MachineType;
import io.cherryspool.model.Resources;
import io.cherryspool.model.Team;
import io.cherryspool.scheduler.ClusterView.JobView;
import io.cherryspool.scheduler.ClusterView.MachineView;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Clusters of one team for tests: nothing owed, nothing scarce, no aims. Times are in seconds. */
final class ClusterFixture {
  private ClusterFixture() {}

  static ClusterView of(
      int now,
      int clock,
      Duration patience,
      List<JobView> jobs,
      List<MachineView> machines,
      Team team,
      Map<String, Resources> use,
      MachineType... catalog) {
    return new ClusterView(
        Instant.EPOCH.plusSeconds(now),
        Duration.ofSeconds(clock),
        patience,
        jobs,
        machines,
        Map.of(team.name(), team),
        use,
        Set.of(),
        List.of(catalog),
        List.of(),
        Map.of());
  }
}
