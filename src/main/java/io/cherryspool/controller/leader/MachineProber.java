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
 * Probes machines, that is, requests a heartbeat from them by direct calls. After a failover it
 * probes all machines that have not sent a heartbeat yet, and later those that own tasks and whose
 * heartbeat is late. A probe does not renew the worker's lease.
 *
 * <p>The number of concurrent calls is limited, since a thousand calls at once use up all sockets
 * and the whole CPU. On a controller with 7.6% of a core this happened after each failover:
 * heartbeats were answered too late, and a thousand tasks lost their leases after a single
 * controller had stopped.
 *
 * <p>Used on the event loop only.
 */
final class MachineProber {
  /** The maximum number of concurrent calls; each uses a socket. */
  private static final int MAX_CALLS = 32;

  /**
   * The maximum number of concurrent calls while the event loop is behind. Heartbeats carry the
   * same information as the answers and must be handled first.
   */
  private static final int MAX_CALLS_WHEN_BEHIND = 1;

  private final EventLoop loop;
  private final TermState state;
  private final WorkerClient workers;
  private final Timings timings;
  private final EventLoopLag lag;
  private final BiConsumer<MachineState, WorkerHeartbeat> answerListener;

  /** The names of the machines to call, in order. */
  private final Set<String> queue = new LinkedHashSet<>();

  /**
   * The machines that were queued before their first heartbeat. Each is queued for this reason only
   * once.
   */
  private final Set<String> calledBeforeHeartbeat = new HashSet<>();

  private int callsInFlight;
  private Duration firstListedAt;
  private boolean isStopped;

  /**
   * Creates a prober with an empty queue.
   *
   * @param answerListener receives each machine that answered, and the heartbeat of the answer
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

  /** Stops calling machines and ignores outstanding answers, since the term has ended. */
  void stop() {
    isStopped = true;
  }

  /** Returns when the cloud's list of machines was first read in this term, empty before that. */
  Optional<Duration> firstListedAt() {
    return Optional.ofNullable(firstListedAt);
  }

  /**
   * Calls the listed machines that have sent no heartbeat in this term, so that a failover need not
   * wait for their heartbeats.
   */
  void onMachinesListed() {
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
   * Calls each machine that owns tasks and whose heartbeat is late. A machine is called only once
   * until its next heartbeat. A dead or hung machine is detected in half the time that missing
   * heartbeats alone would take, and a live machine whose heartbeats are lost is not treated as
   * dead.
   */
  void probeLateMachines() {
    Duration lateCutoff = loop.now().minus(timings.heartbeatLateAfter());
    for (String name : state.tasks().ownership().owningMachines()) {
      MachineState machine = state.fleet().get(name);
      if (machine != null
          && !machine.isDeleted()
          && machine.hasEndpoint()
          && machine.contact().isProbeDue(lateCutoff)) {
        machine.contact().recordProbe();
        queue.add(name);
      }
    }
    callNext();
  }

  private void callNext() {
    int maxCalls = lag.isBehind() ? MAX_CALLS_WHEN_BEHIND : MAX_CALLS;
    while (callsInFlight < maxCalls && !queue.isEmpty() && !isStopped) {
      Iterator<String> first = queue.iterator();
      MachineState machine = state.fleet().get(first.next());
      first.remove();
      if (machine != null && !machine.isDeleted() && !machine.contact().hasHeartbeatSinceProbe()) {
        call(machine);
      }
    }
  }

  private void call(MachineState machine) {
    callsInFlight++;
    Duration sentAt = loop.now();
    workers
        .requestHeartbeat(machine.endpoint())
        .whenComplete(
            (heartbeat, failure) -> {
              callsInFlight--;
              Duration elapsed = loop.now().minus(sentAt);
              if (failure == null && !isStopped) {
                answerListener.accept(machine, heartbeat);
              } else if (!machine.contact().hasHeartbeatSinceProbe() && isTimeout(elapsed)) {
                machine.contact().markUnresponsive();
              }
              callNext();
            });
  }

  /**
   * Whether the call failed by its timeout. A call that fails at once found no free socket, which
   * proves nothing about the machine.
   */
  private boolean isTimeout(Duration elapsed) {
    return elapsed.compareTo(Durations.divide(timings.workerTimeout(), 2)) > 0;
  }
}
