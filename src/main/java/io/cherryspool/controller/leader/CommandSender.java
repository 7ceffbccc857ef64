package io.cherryspool.controller.leader;

import io.cherryspool.controller.fleet.MachineState;
import io.cherryspool.controller.ownership.FencingTokenSource;
import io.cherryspool.lifecycle.EventLoop;
import io.cherryspool.model.WorkerCommand;
import io.cherryspool.model.WorkerHeartbeat;
import io.cherryspool.worker.WorkerClient;
import java.time.Duration;
import java.util.List;
import java.util.function.BiConsumer;

/**
 * Sends committed commands straight to workers, so that a start need not wait for the next report.
 * One call at a time goes to a machine. A call without an answer may still run later, so the token
 * is raised at once and the machine counts as unsettled until it has acknowledged the higher one.
 */
final class CommandSender {
  private final EventLoop loop;
  private final WorkerClient workers;
  private final FencingTokenSource tokens;
  private final Duration pause;
  private final BiConsumer<MachineState, WorkerHeartbeat> sink;

  /**
   * @param sink takes each answer, or null where there was none
   */
  CommandSender(
      EventLoop loop,
      WorkerClient workers,
      FencingTokenSource tokens,
      Duration pause,
      BiConsumer<MachineState, WorkerHeartbeat> sink) {
    this.loop = loop;
    this.workers = workers;
    this.tokens = tokens;
    this.pause = pause;
    this.sink = sink;
  }

  /** Sends the commands; with none, the call still makes the worker take the current token. */
  void send(MachineState machine, List<WorkerCommand> commands) {
    if (!machine.hasHeartbeat()
        || !machine.hasEndpoint()
        || machine.isDeleted()
        || !machine.commands().mayCall(loop.now())) {
      return;
    }
    long token = tokens.current();
    machine.commands().beginCall(commands, token);
    workers
        .sendCommands(machine.endpoint(), token, machine.latestHeartbeat().agentEpoch(), commands)
        .whenComplete(
            (report, failure) -> {
              if (failure == null) {
                machine.commands().callAnswered();
              } else {
                machine.commands().callFailed(loop.now().plus(pause));
                tokens.advance();
              }
              sink.accept(machine, failure == null ? report : null);
            });
  }
}
