package io.cherryspool.scheduler;

import io.cherryspool.model.Resources;
import java.util.HashMap;
import java.util.Map;

/** What each team uses, while a plan adds to it and takes from it. */
final class TeamUsage {
  private final Map<String, Resources> usageByTeam;

  /** Starts from what the teams use; teams without any may be missing. */
  TeamUsage(Map<String, Resources> usageByTeam) {
    this.usageByTeam = new HashMap<>(usageByTeam);
  }

  /** The team's use. */
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
