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
 * Sends committed commands to workers by direct calls, so that a start need not wait for the next
 * heartbeat. Each machine gets one call at a time. If a call is not answered, the worker may still
 * execute it. The sender then raises the fencing token at once, and the machine's commands count as
 * not fenced until the worker has acknowledged the higher token.
 *
 * <p>Used on the event loop only.
 */
final class CommandSender {
  private final EventLoop loop;
  private final WorkerClient workers;
  private final FencingTokenSource tokens;
  private final Duration pauseAfterFailure;
  private final AnswerListener listener;

  /** Receives the outcome of each call. */
  interface AnswerListener {
    /**
     * Called when a call to the machine has ended.
     *
     * @param answer the heartbeat with which the worker answered, empty if the call was not
     *     answered
     */
    void onCommandsAnswered(MachineState machine, Optional<WorkerHeartbeat> answer);
  }

  /**
   * Creates a sender. The state of calls in flight is kept in each machine's {@link
   * CommandDelivery}.
   *
   * @param pauseAfterFailure how long to wait before the next call to a machine that did not answer
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
   * Sends the commands, unless the machine can't be called now. An empty list is sent as well,
   * since the call makes the worker adopt the current fencing token.
   */
  void send(MachineState machine, List<WorkerCommand> commands) {
    CommandDelivery delivery = machine.commandDelivery();
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
                listener.onCommandsAnswered(machine, Optional.of(heartbeat));
              } else {
                delivery.recordCallFailed(loop.now().plus(pauseAfterFailure));
                tokens.advance();
                listener.onCommandsAnswered(machine, Optional.empty());
              }
            });
  }
}
