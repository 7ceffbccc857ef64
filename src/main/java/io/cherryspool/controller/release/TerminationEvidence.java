package io.cherryspool.controller.release;

import io.cherryspool.controller.fleet.MachineState;
import io.cherryspool.controller.ownership.FencingTokenSource;
import io.cherryspool.controller.ownership.Ownership;
import io.cherryspool.controller.ownership.StopRequests;
import io.cherryspool.controller.timing.Timings;
import io.cherryspool.model.Attempt;
import io.cherryspool.model.WorkerCommand;
import io.cherryspool.model.WorkerHeartbeat;
import java.time.Duration;
import java.util.Optional;

/**
 * Decides what is proved of an owned task. A task is free again only on proof: its worker says that
 * the attempt ended, or that it is absent after every start that could still run was fenced off;
 * the worker is in a later session; the cloud has confirmed the machine's deletion; or the lease
 * that could keep the worker's tasks alive has surely run out.
 */
public final class TerminationEvidence {
  private final Timings timings;
  private final FencingTokenSource tokens;
  private final StopRequests stopRequests;
  private final Duration termStart;

  public TerminationEvidence(
      Timings timings, FencingTokenSource tokens, StopRequests stopRequests, Duration termStart) {
    this.timings = timings;
    this.tokens = tokens;
    this.stopRequests = stopRequests;
    this.termStart = termStart;
  }

  /** What is proved. */
  public enum Verdict {
    OWNED,
    DONE,
    ENDED,
    REFUSED,
    FAILED,
    LOST,
    /** Owned, but a higher token at the worker would prove it free. */
    NEEDS_FENCING
  }

  public Verdict assess(Ownership.OwnedTask owned, MachineState machine, Duration now) {
    if (machine == null) {
      return lapsed(termStart.plus(timings.authority()), now);
    }
    if (machine.isDeleted()) {
      return Verdict.LOST;
    }
    Attempt attempt = owned.attempt();
    WorkerHeartbeat latest = machine.latestHeartbeat();
    if (latest != null) {
      if (latest.agentEpoch() > attempt.agentEpoch()) {
        return Verdict.LOST;
      }
      Verdict reported = reported(owned, machine);
      if (reported != Verdict.OWNED) {
        return reported;
      }
    }
    return lapsed(keptAliveUntil(machine), now);
  }

  private Verdict reported(Ownership.OwnedTask owned, MachineState machine) {
    Attempt attempt = owned.attempt();
    Optional<WorkerHeartbeat.TaskStatus> found =
        machine.contact().findTask(owned.id(), attempt.number());
    if (found.isEmpty()) {
      return absent(owned, machine);
    }
    WorkerHeartbeat.TaskStatus item = found.get();
    if (item.state() != WorkerHeartbeat.TaskState.EXITED) {
      return Verdict.OWNED;
    }
    if (item.cause() == WorkerHeartbeat.ExitCause.DONE) {
      return Verdict.DONE;
    }
    // A start that has no answer yet could run once more after the attempt is forgotten.
    if (!machine.contact().hasTokenAbove(tokens.termBase()) || !machine.areCommandsFenced()) {
      return Verdict.NEEDS_FENCING;
    }
    return switch (item.cause()) {
      case STOPPED -> Verdict.ENDED;
      case INSUFFICIENT_RESOURCES, OTHER_ATTEMPT_PRESENT, UNKNOWN_JOB -> Verdict.REFUSED;
      default -> Verdict.FAILED;
    };
  }

  /** Absence proves something only of a task that will not be started again. */
  private Verdict absent(Ownership.OwnedTask owned, MachineState machine) {
    if (stopRequests.graceFor(owned) == null
        || machine.latestHeartbeat().agentEpoch() != owned.attempt().agentEpoch()) {
      return Verdict.OWNED;
    }
    WorkerCommand start = WorkerCommand.start(owned.id(), owned.attempt().number());
    long sent = machine.commands().startTokenOr(start, tokens.termBase());
    if (!machine.contact().hasTokenAbove(sent) || !machine.areCommandsFenced()) {
      return Verdict.NEEDS_FENCING;
    }
    return Verdict.ENDED;
  }

  /** Until when some leader may have kept the worker alive. */
  private Duration keptAliveUntil(MachineState machine) {
    Duration keptAlive = machine.contact().lastKeptAliveAt();
    Duration own = keptAlive == null ? termStart : keptAlive;
    boolean fenced = machine.contact().hasTokenAbove(tokens.termBase());
    Duration earlier = fenced ? termStart : termStart.plus(timings.authority());
    return own.compareTo(earlier) > 0 ? own : earlier;
  }

  private Verdict lapsed(Duration keptAlive, Duration now) {
    return now.minus(keptAlive).compareTo(timings.workerLeaseExpiry()) > 0
        ? Verdict.LOST
        : Verdict.OWNED;
  }
}
