package io.cherryspool.controller.leader;

import io.cherryspool.controller.fleet.CommandDelivery;
import io.cherryspool.controller.fleet.MachineState;
import io.cherryspool.controller.ownership.FencingTokenSource;
import io.cherryspool.lifecycle.EventLoop;
import io.cherryspool.model.WorkerCommand;
import io.cherryspool.model.WorkerHeartbeat;
import io.cherryspool.worker.WorkerClient;
import java.time.Duration;
import java.util.List;
import java.util.Optional;

/**
 * Sends committed commands straight to workers, so that a start need not wait for the next
 * heartbeat. One call at a time goes to a machine. A call without an answer may still run later, so
 * the token is raised at once, and the machine's commands count as not fenced until it has
 * acknowledged the higher one.
 *
 * <p>Used on the event loop only.
 */
final class CommandSender {
  private final EventLoop loop;
  private final WorkerClient workers;
  private final FencingTokenSource tokens;
  private final Duration pauseAfterFailure;
  private final AnswerListener listener;

  /** Whom the outcome of each call is passed to. */
  interface AnswerListener {
    /**
     * Called when a call to the machine has ended.
     *
     * @param answer the worker's state, or empty if the call got no answer
     */
    void commandsAnswered(MachineState machine, Optional<WorkerHeartbeat> answer);
  }

  /**
   * Creates a sender; what is under way is kept with the machines.
   *
   * @param pauseAfterFailure for how long a machine is sent nothing after a call without an answer
   */
  CommandSender(
      EventLoop loop,
      WorkerClient workers,
      FencingTokenSource tokens,
      Duration pauseAfterFailure,
      AnswerListener listener) {
    this.loop = loop;
    this.workers = workers;
    this.tokens = tokens;
    this.pauseAfterFailure = pauseAfterFailure;
    this.listener = listener;
  }

  /**
   * Sends the commands, unless the machine can't be called now; with none, the call still makes the
   * worker take the current token.
   */
  void send(MachineState machine, List<WorkerCommand> commands) {
    CommandDelivery delivery = machine.commands();
    if (!machine.hasHeartbeat()
        || !machine.hasEndpoint()
        || machine.isDeleted()
        || !delivery.mayCall(loop.now())) {
      return;
    }
    long token = tokens.current();
    delivery.recordCallStarted(commands, token);
    workers
        .sendCommands(machine.endpoint(), token, machine.latestHeartbeat().agentEpoch(), commands)
        .whenComplete(
            (heartbeat, failure) -> {
              if (failure == null) {
                delivery.recordCallAnswered();
                listener.commandsAnswered(machine, Optional.of(heartbeat));
              } else {
                delivery.recordCallFailed(loop.now().plus(pauseAfterFailure));
                tokens.advance();
                listener.commandsAnswered(machine, Optional.empty());
              }
            });
  }
}
