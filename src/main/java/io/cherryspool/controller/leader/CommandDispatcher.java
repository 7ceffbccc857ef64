package io.cherryspool.controller.leader;

import io.cherryspool.controller.fleet.MachineState;
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
 * Decides which commands go to which machine and when: those that are due go with the reply to each
 * heartbeat, and by direct calls to the machines of which something has changed.
 *
 * <p>Used on the event loop only.
 */
final class CommandDispatcher {
  /** Commands in a reply show in the worker's next heartbeat, which a change brings soon. */
  private static final Duration DELIVERY_TIME = Duration.ofMillis(1200);

  private final EventLoop loop;
  private final TermState state;
  private final WorkerCommandPlanner planner;
  private final CommandSender sender;
  private final BooleanSupplier mayCommandWorkers;

  /** The machines that commands may be due for; one leaves when none are. */
  private final Set<String> changedMachines = new LinkedHashSet<>();

  private boolean stopped;

  /**
   * Creates a dispatcher with no machine to consider.
   *
   * @param mayCommandWorkers whether the leader may act for the controllers now
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

  /** Sends nothing more of its own accord, since the term has ended. */
  void stop() {
    stopped = true;
  }

  /** Has the machine considered by {@link #sendDue}, since something about it has changed. */
  void machineChanged(String machine) {
    changedMachines.add(machine);
  }

  /** Has all machines that own anything considered, since the records were all read again. */
  void recordsReloaded() {
    changedMachines.addAll(state.tasks().ownership().owningMachines());
  }

  /** The commands that go with the reply to the machine's heartbeat, recorded as delivered. */
  List<WorkerCommand> commandsForReply(MachineState machine, long token) {
    List<WorkerCommand> commands = commandsFor(machine);
    machine.commands().recordDelivered(commands, token, loop.now());
    return commands;
  }

  /** Makes the machine take the current token by a direct call, if it has not shown it yet. */
  void fence(MachineState machine) {
    if (machine.hasHeartbeat()
        && machine.latestHeartbeat().highestFencingToken() < state.tokens().current()) {
      sender.send(machine, commandsFor(machine));
    }
  }

  /** Sends what is due to the machines that something has changed for. */
  void sendDue() {
    if (stopped || !mayCommandWorkers.getAsBoolean()) {
      return;
    }
    for (Iterator<String> names = changedMachines.iterator(); names.hasNext(); ) {
      MachineState machine = state.fleet().get(names.next());
      if (machine == null || machine.isDeleted()) {
        names.remove();
      } else if (machine.hasHeartbeat() && !machine.commands().isCallInFlight()) {
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
    return planner.commandsFor(machine, state.tasks().ownership().ownedTasksOn(machine.name()));
  }

  /** The commands for a direct call, which acknowledges nothing: that can wait for a reply. */
  private List<WorkerCommand> directCommands(MachineState machine) {
    List<WorkerCommand> due = commandsFor(machine);
    due.removeIf(command -> command.action() == WorkerCommand.Action.ACKNOWLEDGE);
    return due;
  }

  /** Removes what went with a reply so lately that the worker may not have carried it out yet. */
  private void removeDelivered(List<WorkerCommand> due, MachineState machine) {
    Duration now = loop.now();
    due.removeIf(command -> machine.commands().wasDeliveredWithin(command, DELIVERY_TIME, now));
  }
}
