package io.cherryspool.scheduler;

import io.cherryspool.model.Job;
import io.cherryspool.model.MachineType;
import io.cherryspool.scheduler.ClusterView.MachineView;
import io.cherryspool.scheduler.ClusterView.RunningTask;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Finds the running tasks that occupy machines which unschedulable tasks need, although they could
 * run on machine types that the unschedulable tasks cannot use. The cloud may still have capacity
 * of these types when it has none of the types in demand.
 */
final class RelocatableTasks {
  private RelocatableTasks() {}

  /**
   * Returns the relocatable tasks grouped by job, in the order of the machines on which they run.
   */
  static List<RoundPlan.TaskGroup> find(ClusterView view, List<RoundPlan.TaskGroup> unschedulable) {
    List<MachineType> contended = new ArrayList<>();
    List<MachineType> others = new ArrayList<>();
    for (MachineType type : view.catalog()) {
      (isUsableForAny(type, unschedulable) ? contended : others).add(type);
    }
    if (contended.isEmpty() || others.isEmpty()) {
      return List.of();
    }
    Map<Job, Integer> counts = new LinkedHashMap<>();
    for (MachineView machine : view.machines()) {
      if (contended.contains(machine.type())) {
        for (RunningTask task : machine.runningTasks()) {
          counts.merge(task.job(), 1, Integer::sum);
        }
      }
    }
    List<RoundPlan.TaskGroup> result = new ArrayList<>();
    for (Map.Entry<Job, Integer> entry : counts.entrySet()) {
      if (allowsAny(entry.getKey(), others)) {
        result.add(new RoundPlan.TaskGroup(entry.getKey(), entry.getValue()));
      }
    }
    return result;
  }

  private static boolean isUsableForAny(MachineType type, List<RoundPlan.TaskGroup> groups) {
    for (RoundPlan.TaskGroup group : groups) {
      if (group.job().allowsType(type)) {
        return true;
      }
    }
    return false;
  }

  private static boolean allowsAny(Job job, List<MachineType> types) {
    for (MachineType type : types) {
      if (job.allowsType(type)) {
        return true;
      }
    }
    return false;
  }
}
