package io.cherryspool.controller;

import io.cherryspool.model.Attempt;
import io.cherryspool.model.Resources;
import io.cherryspool.model.TaskId;
import io.cherryspool.store.JobEntry;
import io.cherryspool.store.Replica;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Who owns what, by machine and by team, as the committed records say. */
final class Ownership {

  /** One owned task. */
  record Owned(JobEntry entry, TaskId id, Attempt attempt) {}

  private final Map<String, List<Owned>> byMachine = new HashMap<>();
  private final Map<String, Resources> byTeam = new HashMap<>();

  static Ownership of(Replica replica) {
    Ownership result = new Ownership();
    for (JobEntry entry : replica.active()) {
      int count = 0;
      for (JobEntry.Versioned item : entry.shards().values()) {
        for (Attempt attempt : item.shard().owned().values()) {
          TaskId id = new TaskId(entry.job().id(), attempt.task());
          result
              .byMachine
              .computeIfAbsent(attempt.machine(), key -> new ArrayList<>())
              .add(new Owned(entry, id, attempt));
          count++;
        }
      }
      if (count > 0) {
        Resources use = entry.job().perTask().times(count);
        result.byTeam.merge(entry.job().team(), use, Resources::plus);
      }
    }
    return result;
  }

  List<Owned> on(String machine) {
    return byMachine.getOrDefault(machine, List.of());
  }

  Iterable<String> machines() {
    return byMachine.keySet();
  }

  Map<String, Resources> byTeam() {
    return byTeam;
  }
}
