package io.cherryspool.controller.leader;

import io.cherryspool.controller.fleet.MachineState;
import io.cherryspool.controller.ownership.FencingTokenSource;
import io.cherryspool.controller.ownership.Ownership;
import io.cherryspool.controller.rounds.TaskTracking;
import io.cherryspool.model.WorkerCommand;
import io.cherryspool.model.WorkerHeartbeat;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Plans what a worker is to do, from the committed records and its newest heartbeat alone. The same
 * commands come again until a heartbeat shows them done, so that none is lost with a reply.
 *
 * <p>Used on the event loop only.
 */
final class WorkerCommandPlanner {
  private final FencingTokenSource tokens;
  private final TaskTracking tasks;

  WorkerCommandPlanner(FencingTokenSource tokens, TaskTracking tasks) {
    this.tokens = tokens;
    this.tasks = tasks;
  }

  /**
   * The commands that are due; the list is the caller's to change.
   *
   * @param machine has sent a heartbeat in this term
   * @param owned the tasks that the records give to the machine
   */
  List<WorkerCommand> commandsFor(MachineState machine, List<Ownership.OwnedTask> owned) {
    List<WorkerCommand> commands = new ArrayList<>();
    for (WorkerHeartbeat.TaskStatus status : machine.latestHeartbeat().tasks()) {
      Ownership.OwnedTask owner = findOwned(status, owned, machine);
      if (owner != null) {
        addStop(commands, status, owner);
      } else {
        addEnd(commands, status, machine);
      }
    }
    if (tasks.adoption().isInProgress()) {
      // What is owned and not here may run elsewhere as a later attempt.
      return commands;
    }
    for (Ownership.OwnedTask item : owned) {
      if (isStartDue(item, machine)) {
        commands.add(WorkerCommand.start(item.taskId(), item.attempt().number()));
      }
    }
    return commands;
  }

  /** For a task that the machine owns: it goes on, unless its stop is requested. */
  private void addStop(
      List<WorkerCommand> commands, WorkerHeartbeat.TaskStatus status, Ownership.OwnedTask owned) {
    Optional<Duration> gracePeriod = tasks.stopRequests().gracePeriodFor(owned);
    if (gracePeriod.isEmpty()) {
      return;
    }
    boolean isRunning =
        status.state() == WorkerHeartbeat.TaskState.FETCHING
            || status.state() == WorkerHeartbeat.TaskState.RUNNING;
    boolean isCutShort =
        status.state() == WorkerHeartbeat.TaskState.CHECKPOINTING && gracePeriod.get().isZero();
    if (isRunning || isCutShort) {
      commands.add(WorkerCommand.stop(status.task(), status.attempt(), gracePeriod.get()));
    }
  }

  /** For a task that the records give to no machine, or to another attempt. */
  private void addEnd(
      List<WorkerCommand> commands, WorkerHeartbeat.TaskStatus status, MachineState machine) {
    if (tasks.adoption().isProtected(machine, status)) {
      // The records lack what happened last, and this may be part of it.
      return;
    }
    if (status.state() != WorkerHeartbeat.TaskState.EXITED) {
      commands.add(WorkerCommand.stop(status.task(), status.attempt(), Duration.ZERO));
    } else if (machine.contact().hasTokenAbove(tokens.termBase()) && machine.areCommandsFenced()) {
      commands.add(WorkerCommand.acknowledge(status.task(), status.attempt()));
    }
  }

  private boolean isStartDue(Ownership.OwnedTask owned, MachineState machine) {
    return owned.attempt().agentEpoch() == machine.latestHeartbeat().agentEpoch()
        && owned.jobRecord().outcome() == null
        && !tasks.adoption().isPlacementBlocked(owned.jobRecord())
        && !tasks.stopRequests().isRequested(owned)
        // An attempt that has ended must not run once more while its end waits to be written.
        && !tasks.pendingReleases().contains(owned)
        && machine.contact().findTask(owned.taskId(), owned.attempt().number()).isEmpty();
  }

  /** The owned task that the status is of, null if there is none. */
  private static Ownership.OwnedTask findOwned(
      WorkerHeartbeat.TaskStatus status, List<Ownership.OwnedTask> owned, MachineState machine) {
    long epoch = machine.latestHeartbeat().agentEpoch();
    for (Ownership.OwnedTask candidate : owned) {
      if (candidate.attempt().number() == status.attempt()
          && candidate.attempt().agentEpoch() == epoch
          && candidate.taskId().equals(status.task())) {
        return candidate;
      }
    }
    return null;
  }
}
