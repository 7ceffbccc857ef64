package io.cherryspool.controller.leader;

import io.cherryspool.controller.fleet.MachineEligibility;
import io.cherryspool.controller.fleet.MachineState;
import io.cherryspool.controller.ownership.Ownership;
import io.cherryspool.controller.rounds.SchedulingLoop;
import io.cherryspool.controller.rounds.TermState;
import io.cherryspool.lifecycle.EventLoop;
import io.cherryspool.model.Job;
import io.cherryspool.model.WorkerHeartbeat;
import io.cherryspool.wire.WorkerProtocol;
import java.time.Duration;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Handles the workers' heartbeats, and replies with the current fencing token and the commands that
 * are due.
 *
 * <p>Used on the event loop only.
 */
final class HeartbeatHandler {
  private static final Logger LOG = LoggerFactory.getLogger(HeartbeatHandler.class);

  private final EventLoop loop;
  private final TermState state;
  private final SchedulingLoop rounds;
  private final CommandDispatcher dispatcher;
  private final ConsistencyCheck consistencyCheck;
  private boolean isStopped;

  HeartbeatHandler(
      EventLoop loop,
      TermState state,
      SchedulingLoop rounds,
      CommandDispatcher dispatcher,
      ConsistencyCheck consistencyCheck) {
    this.loop = loop;
    this.state = state;
    this.rounds = rounds;
    this.dispatcher = dispatcher;
    this.consistencyCheck = consistencyCheck;
  }

  /** Ignores all further heartbeats, since the term has ended. */
  void stop() {
    isStopped = true;
  }

  /**
   * Records a heartbeat that the worker sent on its own schedule, and returns the encoded reply.
   */
  byte[] answer(WorkerHeartbeat heartbeat) {
    recordHeartbeat(heartbeat);
    MachineState machine = state.fleet().get(heartbeat.machine());
    long token = state.tokens().current();
    if (machine == null || machine.isDeleted() || !machine.hasHeartbeat()) {
      return WorkerProtocol.encodeHeartbeatReply(token, List.of());
    }
    MachineEligibility eligibilityBefore = rounds.eligibility(machine);
    boolean isNew = machine.contact().recordReply(heartbeat, token, loop.now());
    if (eligibilityBefore.isImprovedBy(rounds.eligibility(machine))) {
      // The reply renews the worker's lease, so that tasks may be placed on the machine again.
      rounds.requestRound();
    }
    if (!isNew || heartbeat.agentEpoch() != machine.latestHeartbeat().agentEpoch()) {
      return WorkerProtocol.encodeHeartbeatReply(token, List.of());
    }
    return WorkerProtocol.encodeHeartbeatReply(token, dispatcher.commandsForReply(machine, token));
  }

  /**
   * Records a heartbeat, whether the worker sent it on its own schedule or as the answer to a
   * direct call.
   */
  void recordHeartbeat(WorkerHeartbeat heartbeat) {
    if (isStopped) {
      return;
    }
    MachineState knownMachine = state.fleet().get(heartbeat.machine());
    WorkerHeartbeat previous = knownMachine == null ? null : knownMachine.latestHeartbeat();
    if (consistencyCheck.reportIfContradicted(heartbeat, previous)) {
      return;
    }
    MachineEligibility eligibilityBefore = rounds.eligibility(knownMachine);
    if (!state.fleet().recordHeartbeat(heartbeat, loop.now())) {
      return;
    }
    MachineState machine = state.fleet().get(heartbeat.machine());
    // A newer token alone is not a change: otherwise each round, which raises the token, would have
    // every machine examined and another round requested.
    if (heartbeat.hasChangedSince(previous)
        || eligibilityBefore.isImprovedBy(rounds.eligibility(machine))
        || rounds.isExaminationPending(machine.name())) {
      rounds.onMachineChanged(machine.name());
      dispatcher.onMachineChanged(machine.name());
      rounds.requestRound();
    }
    if (heartbeat.preemptionNotice() != null
        && (previous == null || previous.preemptionNotice() == null)) {
      LOG.info(
          "preemption notice: machine={}, seconds={}",
          machine.name(),
          heartbeat.preemptionNotice().toSeconds());
      checkpointTasks(machine, heartbeat.preemptionNotice());
    }
  }

  /**
   * Requests a stop of the tasks that can save a checkpoint before the machine is taken away. The
   * other tasks keep running, since they may still finish in that time.
   */
  private void checkpointTasks(MachineState machine, Duration notice) {
    for (Ownership.OwnedTask owned : state.tasks().ownership().ownedTasksOn(machine.name())) {
      Job job = owned.jobRecord().job();
      boolean savesProgress = !job.checkpointInterval().isZero();
      if (savesProgress && job.checkpointDuration().compareTo(notice) < 0) {
        state.tasks().stopRequests().add(owned.taskId(), owned.attempt().number(), notice);
        rounds.onMachineChanged(machine.name());
      }
    }
    dispatcher.sendDueCommands();
  }
}
