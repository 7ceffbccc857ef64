package io.cherryspool.scheduler;

import io.cherryspool.model.Resources;
import java.util.HashMap;
import java.util.Map;

/** The resources that each team uses, updated while a plan is made. */
final class TeamUsage {
  private final Map<String, Resources> usageByTeam;

  /** Creates a copy of the usage by team; teams without usage may be missing. */
  TeamUsage(Map<String, Resources> usageByTeam) {
    this.usageByTeam = new HashMap<>(usageByTeam);
  }

  /** Returns the resources that the team uses. */
  Resources of(String team) {
    return usageByTeam.getOrDefault(team, Resources.NONE);
  }

  void add(String team, Resources amount) {
    usageByTeam.put(team, of(team).plus(amount));
  }

  void subtract(String team, Resources amount) {
    usageByTeam.put(team, of(team).minus(amount));
  }
}
