package io.cherryspool.controller.leader;

import io.cherryspool.controller.fleet.MachineState;
import io.cherryspool.controller.ownership.Ownership;
import io.cherryspool.controller.rounds.TermState;
import io.cherryspool.lifecycle.EventLoop;
import io.cherryspool.model.WorkerCommand;
import java.time.Duration;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.BooleanSupplier;

/**
 * Decides when each machine is sent the commands that are due for it: in the reply to each of its
 * heartbeats, and by direct calls when its heartbeat or the records about it have changed.
 *
 * <p>Used on the event loop only.
 */
final class CommandDispatcher {
  /**
   * The time in which a worker executes the commands of a reply and sends a heartbeat that shows
   * their effect; a worker sends one soon after each change.
   */
  private static final Duration REPLY_PROCESSING_TIME = Duration.ofMillis(1200);

  private final EventLoop loop;
  private final TermState state;
  private final WorkerCommandPlanner planner;
  private final CommandSender sender;
  private final BooleanSupplier mayCommandWorkers;

  /** The machines that commands may be due for. A machine is removed once no commands are due. */
  private final Set<String> changedMachines = new LinkedHashSet<>();

  private boolean isStopped;

  /**
   * Creates a dispatcher without changed machines.
   *
   * @param mayCommandWorkers whether the leader may send commands to workers now
   */
  CommandDispatcher(
      EventLoop loop,
      TermState state,
      WorkerCommandPlanner planner,
      CommandSender sender,
      BooleanSupplier mayCommandWorkers) {
    this.loop = loop;
    this.state = state;
    this.planner = planner;
    this.sender = sender;
    this.mayCommandWorkers = mayCommandWorkers;
  }

  /** Stops direct calls, since the term has ended. */
  void stop() {
    isStopped = true;
  }

  /**
   * Marks the machine as changed, so that the next {@link #sendDueCommands} checks it for due
   * commands.
   */
  void onMachineChanged(String machine) {
    changedMachines.add(machine);
  }

  /** Marks all machines that own tasks as changed, since all records were read again. */
  void onRecordsReloaded() {
    changedMachines.addAll(state.tasks().ownership().owningMachines());
  }

  /**
   * Returns the commands for the reply to the machine's heartbeat, and records them as delivered.
   */
  List<WorkerCommand> commandsForReply(MachineState machine, long token) {
    List<WorkerCommand> commands = planner.replyCommandsFor(machine, ownedTasksOn(machine));
    machine.commandDelivery().recordDelivered(commands, token, loop.now());
    return commands;
  }

  /**
   * Sends the machine the current fencing token by a direct call, unless its newest heartbeat
   * already acknowledges that token.
   */
  void fence(MachineState machine) {
    if (machine.hasHeartbeat()
        && machine.latestHeartbeat().highestFencingToken() < state.tokens().current()) {
      sender.send(machine, commandsFor(machine));
    }
  }

  /** Sends the commands that are due to the machines marked as changed. */
  void sendDueCommands() {
    if (isStopped || !mayCommandWorkers.getAsBoolean()) {
      return;
    }
    for (Iterator<String> names = changedMachines.iterator(); names.hasNext(); ) {
      MachineState machine = state.fleet().get(names.next());
      if (machine == null || machine.isDeleted()) {
        names.remove();
      } else if (machine.hasHeartbeat() && !machine.commandDelivery().isCallInFlight()) {
        List<WorkerCommand> due = directCommands(machine);
        if (due.isEmpty()) {
          names.remove();
          continue;
        }
        removeDelivered(due, machine);
        if (!due.isEmpty()) {
          sender.send(machine, due);
        }
      }
    }
  }

  private List<WorkerCommand> commandsFor(MachineState machine) {
    return planner.commandsFor(machine, ownedTasksOn(machine));
  }

  private List<Ownership.OwnedTask> ownedTasksOn(MachineState machine) {
    return state.tasks().ownership().ownedTasksOn(machine.name());
  }

  /**
   * Returns the commands for a direct call. Acknowledgements are left out, since they can wait for
   * the next heartbeat reply.
   */
  private List<WorkerCommand> directCommands(MachineState machine) {
    List<WorkerCommand> due = commandsFor(machine);
    due.removeIf(command -> command.action() == WorkerCommand.Action.ACKNOWLEDGE);
    return due;
  }

  /**
   * Removes the commands of the last reply if the worker may not have had time to execute them yet.
   */
  private void removeDelivered(List<WorkerCommand> due, MachineState machine) {
    Duration now = loop.now();
    due.removeIf(
        command ->
            machine.commandDelivery().wasDeliveredWithin(command, REPLY_PROCESSING_TIME, now));
  }
}
