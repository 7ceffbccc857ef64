package io.cherryspool.controller.leader;

import io.cherryspool.controller.fleet.MachineState;
import io.cherryspool.controller.rounds.TermState;
import io.cherryspool.controller.timing.EventLoopLag;
import io.cherryspool.controller.timing.Timings;
import io.cherryspool.lifecycle.EventLoop;
import io.cherryspool.model.Durations;
import io.cherryspool.model.WorkerHeartbeat;
import io.cherryspool.worker.WorkerClient;
import java.time.Duration;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiConsumer;

/**
 * Requests the state of machines by direct calls: after a failover of all machines that have not
 * sent a heartbeat yet, and later of those that own tasks and are late. Calls renew no lease.
 *
 * <p>A few calls run at a time: a thousand at once would take all sockets, and all of the
 * processor. On 7.6% of a core they did so after each failover, so that heartbeats were answered
 * too late and a thousand tasks lost their leases after a single controller had ended.
 *
 * <p>Used on the event loop only.
 */
final class MachineProber {
  /** Calls at a time; each holds a socket. */
  private static final int MAX_CALLS = 32;

  /**
   * Calls at a time while the event loop is behind: the heartbeats bring the same, and go first.
   */
  private static final int MAX_CALLS_WHEN_BEHIND = 1;

  private final EventLoop loop;
  private final TermState state;
  private final WorkerClient workers;
  private final Timings timings;
  private final EventLoopLag lag;
  private final BiConsumer<MachineState, WorkerHeartbeat> answerListener;

  /** The machines to call, in order. */
  private final Set<String> queue = new LinkedHashSet<>();

  /** The machines that were queued before their first heartbeat, which is done once. */
  private final Set<String> calledBeforeHeartbeat = new HashSet<>();

  private int callsUnderWay;
  private Duration firstListedAt;
  private boolean stopped;

  /**
   * Creates a prober without calls.
   *
   * @param answerListener receives each answer with the machine it is from
   */
  MachineProber(
      EventLoop loop,
      TermState state,
      WorkerClient workers,
      Timings timings,
      EventLoopLag lag,
      BiConsumer<MachineState, WorkerHeartbeat> answerListener) {
    this.loop = loop;
    this.state = state;
    this.workers = workers;
    this.timings = timings;
    this.lag = lag;
    this.answerListener = answerListener;
  }

  /** Makes no more calls and passes on no more answers, since the term has ended. */
  void stop() {
    stopped = true;
  }

  /** When the cloud's list of machines was first read, empty before that. */
  Optional<Duration> firstListedAt() {
    return Optional.ofNullable(firstListedAt);
  }

  /** Calls listed machines without a heartbeat, so that a failover need not wait for these. */
  void machinesListed() {
    firstListedAt = firstListedAt == null ? loop.now() : firstListedAt;
    for (MachineState machine : state.fleet().all()) {
      if (machine.hasEndpoint()
          && !machine.hasHeartbeat()
          && calledBeforeHeartbeat.add(machine.name())) {
        queue.add(machine.name());
      }
    }
    callNext();
  }

  /**
   * Calls machines that own tasks and are late, once in each silence: a dead or hung one is known
   * in half the time that its heartbeats alone would take, and a live one whose heartbeats are lost
   * is not taken for dead.
   */
  void probeLate() {
    Duration lateSince = loop.now().minus(timings.heartbeatLateAfter());
    for (String name : state.tasks().ownership().owningMachines()) {
      MachineState machine = state.fleet().get(name);
      if (machine != null
          && !machine.isDeleted()
          && machine.hasEndpoint()
          && machine.contact().isProbeDue(lateSince)) {
        machine.contact().recordProbe();
        queue.add(name);
      }
    }
    callNext();
  }

  private void callNext() {
    int maxCalls = lag.isBehind() ? MAX_CALLS_WHEN_BEHIND : MAX_CALLS;
    while (callsUnderWay < maxCalls && !queue.isEmpty() && !stopped) {
      Iterator<String> first = queue.iterator();
      MachineState machine = state.fleet().get(first.next());
      first.remove();
      if (machine != null && !machine.isDeleted() && !machine.contact().hasHeartbeatSinceProbe()) {
        call(machine);
      }
    }
  }

  private void call(MachineState machine) {
    callsUnderWay++;
    Duration sentAt = loop.now();
    workers
        .requestHeartbeat(machine.endpoint())
        .whenComplete(
            (heartbeat, failure) -> {
              callsUnderWay--;
              Duration took = loop.now().minus(sentAt);
              if (failure == null && !stopped) {
                answerListener.accept(machine, heartbeat);
              } else if (!machine.contact().hasHeartbeatSinceProbe() && isTimeout(took)) {
                machine.contact().markUnresponsive();
              }
              callNext();
            });
  }

  /** A call that fails at once found no socket, which says nothing of the machine. */
  private boolean isTimeout(Duration took) {
    return took.compareTo(Durations.divide(timings.workerTimeout(), 2)) > 0;
  }
}
