package io.cherryspool.controller.leader;

import io.cherryspool.controller.fleet.MachineState;
import io.cherryspool.controller.ownership.FencingTokenSource;
import io.cherryspool.controller.ownership.Ownership;
import io.cherryspool.controller.ownership.StopRequests;
import io.cherryspool.controller.release.PendingReleases;
import io.cherryspool.controller.rounds.Adoption;
import io.cherryspool.model.WorkerCommand;
import io.cherryspool.model.WorkerHeartbeat;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/**
 * What a worker is to do, from the committed records and its newest message alone. The same
 * commands come again until a message shows them done, so none is lost with an answer.
 */
final class WorkerCommandPlanner {
  private final StopRequests stopRequests;
  private final FencingTokenSource tokens;
  private final PendingReleases pendingReleases;
  private final Adoption adoption;

  WorkerCommandPlanner(
      StopRequests stopRequests,
      FencingTokenSource tokens,
      PendingReleases pendingReleases,
      Adoption adoption) {
    this.stopRequests = stopRequests;
    this.tokens = tokens;
    this.pendingReleases = pendingReleases;
    this.adoption = adoption;
  }

  List<WorkerCommand> commandsFor(MachineState machine, List<Ownership.OwnedTask> owned) {
    WorkerHeartbeat latest = machine.latestHeartbeat();
    List<WorkerCommand> commands = new ArrayList<>();
    for (WorkerHeartbeat.TaskStatus item : latest.tasks()) {
      Ownership.OwnedTask owner = owner(item, owned, latest.agentEpoch());
      if (owner != null) {
        Duration grace = stopRequests.gracePeriodFor(owner).orElse(null);
        boolean running =
            item.state() == WorkerHeartbeat.TaskState.FETCHING
                || item.state() == WorkerHeartbeat.TaskState.RUNNING;
        boolean cutShort =
            item.state() == WorkerHeartbeat.TaskState.CHECKPOINTING
                && grace != null
                && grace.isZero();
        if (grace != null && (running || cutShort)) {
          commands.add(WorkerCommand.stop(item.task(), item.attempt(), grace));
        }
      } else if (adoption.mustLeaveUntouched(machine, item)) {
        // The records lack what happened last, and this may be part of it.
        continue;
      } else if (item.state() != WorkerHeartbeat.TaskState.EXITED) {
        // The records give this task to nobody, or to another attempt: nobody may run it here.
        commands.add(WorkerCommand.stop(item.task(), item.attempt(), Duration.ZERO));
      } else if (latest.highestFencingToken() > tokens.termBase() && machine.areCommandsFenced()) {
        commands.add(WorkerCommand.acknowledge(item.task(), item.attempt()));
      }
    }
    if (adoption.isOpen()) {
      // What is owned and not here may run elsewhere as a later attempt.
      return commands;
    }
    for (Ownership.OwnedTask item : owned) {
      boolean here = item.attempt().agentEpoch() == latest.agentEpoch();
      if (here
          && item.entry().outcome() == null
          && !adoption.isHeldBack(item.entry())
          && !stopRequests.isRequested(item)
          // An attempt that has ended must not run once more while its end waits to be written.
          && !pendingReleases.contains(item)
          && machine.contact().findTask(item.id(), item.attempt().number()).isEmpty()) {
        commands.add(WorkerCommand.start(item.id(), item.attempt().number()));
      }
    }
    return commands;
  }

  private static Ownership.OwnedTask owner(
      WorkerHeartbeat.TaskStatus item, List<Ownership.OwnedTask> owned, long session) {
    for (Ownership.OwnedTask candidate : owned) {
      if (candidate.attempt().number() == item.attempt()
          && candidate.attempt().agentEpoch() == session
          && candidate.id().equals(item.task())) {
        return candidate;
      }
    }
    return null;
  }
}
