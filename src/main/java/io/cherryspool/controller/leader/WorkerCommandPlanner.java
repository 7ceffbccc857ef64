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
 * Derives the commands for a worker from the committed records and its newest heartbeat. A command
 * is repeated until a heartbeat shows that it was executed, so no command is lost if a reply is
 * lost.
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
   * Returns the commands that are due, in a new list that the caller may modify.
   *
   * @param machine the machine, which must have sent a heartbeat in this term
   * @param owned the tasks that the machine owns by the committed records
   */
  List<WorkerCommand> commandsFor(MachineState machine, List<Ownership.OwnedTask> owned) {
    List<WorkerCommand> commands = new ArrayList<>();
    for (WorkerHeartbeat.TaskStatus status : machine.latestHeartbeat().tasks()) {
      Ownership.OwnedTask owner = findOwned(status, owned, machine);
      if (owner != null) {
        addStopIfRequested(commands, status, owner);
      } else {
        addStopOrAcknowledgement(commands, status, machine);
      }
    }
    if (tasks.adoption().isInProgress()) {
      // Nothing is started yet: a task that is missing from this heartbeat may run on another
      // machine as a later attempt that no record holds.
      return commands;
    }
    for (Ownership.OwnedTask item : owned) {
      if (isStartDue(item, machine)) {
        commands.add(WorkerCommand.start(item.taskId(), item.attempt().number()));
      }
    }
    return commands;
  }

  /**
   * Returns the commands for the reply to the machine's newest heartbeat, in a new list. They are
   * those of {@link #commandsFor}, and stops of attempts that must stop but are not reported: the
   * worker may have executed a start since it sent the heartbeat, and the reply renews the lease
   * under which the attempt then runs. A stop has no effect on a worker without the attempt.
   *
   * @param machine the machine, which must have sent a heartbeat in this term
   * @param owned the tasks that the machine owns by the committed records
   */
  List<WorkerCommand> replyCommandsFor(MachineState machine, List<Ownership.OwnedTask> owned) {
    List<WorkerCommand> commands = commandsFor(machine, owned);
    for (Ownership.OwnedTask item : owned) {
      if (mayHaveStarted(item, machine)) {
        tasks
            .stopRequests()
            .gracePeriodFor(item)
            .map(grace -> WorkerCommand.stop(item.taskId(), item.attempt().number(), grace))
            .ifPresent(commands::add);
      }
    }
    return commands;
  }

  /** Whether the attempt is not reported, and may have been started since the newest heartbeat. */
  private boolean mayHaveStarted(Ownership.OwnedTask owned, MachineState machine) {
    return isInSameEpoch(owned, machine)
        && !tasks.pendingReleases().contains(owned)
        && !isReported(owned, machine);
  }

  private static boolean isInSameEpoch(Ownership.OwnedTask owned, MachineState machine) {
    return owned.attempt().agentEpoch() == machine.latestHeartbeat().agentEpoch();
  }

  private static boolean isReported(Ownership.OwnedTask owned, MachineState machine) {
    return machine.contact().findTask(owned.taskId(), owned.attempt().number()).isPresent();
  }

  /**
   * Adds a stop command for a task that the machine owns if a stop is requested. While the task
   * already saves a checkpoint, the command is added only to cut the grace period to zero.
   */
  private void addStopIfRequested(
      List<WorkerCommand> commands, WorkerHeartbeat.TaskStatus status, Ownership.OwnedTask owned) {
    Optional<Duration> gracePeriod = tasks.stopRequests().gracePeriodFor(owned);
    if (gracePeriod.isEmpty()) {
      return;
    }
    boolean isRunning =
        status.state() == WorkerHeartbeat.TaskState.FETCHING
            || status.state() == WorkerHeartbeat.TaskState.RUNNING;
    boolean mustAbortCheckpoint =
        status.state() == WorkerHeartbeat.TaskState.CHECKPOINTING && gracePeriod.get().isZero();
    if (isRunning || mustAbortCheckpoint) {
      commands.add(WorkerCommand.stop(status.task(), status.attempt(), gracePeriod.get()));
    }
  }

  /**
   * Adds the command for a reported attempt that does not own its task: a stop while it runs, an
   * acknowledgement once it has exited.
   */
  private void addStopOrAcknowledgement(
      List<WorkerCommand> commands, WorkerHeartbeat.TaskStatus status, MachineState machine) {
    if (tasks.adoption().isProtected(machine, status)) {
      // The records were restored without the latest changes, and this attempt may be one of them.
      return;
    }
    if (status.state() != WorkerHeartbeat.TaskState.EXITED) {
      commands.add(WorkerCommand.stop(status.task(), status.attempt(), Duration.ZERO));
    } else if (machine.contact().hasTokenAbove(tokens.termBase()) && machine.areCommandsFenced()) {
      commands.add(WorkerCommand.acknowledge(status.task(), status.attempt()));
    }
  }

  private boolean isStartDue(Ownership.OwnedTask owned, MachineState machine) {
    return isInSameEpoch(owned, machine)
        && owned.jobRecord().outcome() == null
        && !tasks.adoption().isPlacementBlocked(owned.jobRecord())
        && !tasks.stopRequests().isRequested(owned)
        // An attempt that has ended must not be started again while its release is not written yet.
        && !tasks.pendingReleases().contains(owned)
        && !isReported(owned, machine);
  }

  /** Returns the owned task whose attempt the status describes, null if there is none. */
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
