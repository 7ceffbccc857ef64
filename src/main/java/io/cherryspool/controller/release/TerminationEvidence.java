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
 * Decides what is proved of an owned task. A task is free again only on proof: its worker reports
 * that the attempt ended, or that it is absent after every start that could still run was fenced;
 * the worker is in a later agent epoch; the cloud has confirmed the machine's deletion; or the
 * lease that could keep the worker's tasks alive has surely expired. Used on the event loop only.
 */
public final class TerminationEvidence {
  private final Timings timings;
  private final FencingTokenSource tokens;
  private final StopRequests stopRequests;
  private final Duration termStart;

  /**
   * Creates the termination evidence.
   *
   * @param termStart when the leader's term began, by the event loop
   */
  public TerminationEvidence(
      Timings timings, FencingTokenSource tokens, StopRequests stopRequests, Duration termStart) {
    this.timings = timings;
    this.tokens = tokens;
    this.stopRequests = stopRequests;
    this.termStart = termStart;
  }

  /** What is proved of an attempt. */
  public enum Verdict {
    /** Nothing: it may run, or run yet. */
    OWNED,
    /** It has completed its task. */
    DONE,
    /** It was stopped, or will not start any more. */
    ENDED,
    /** Its worker did not start it. */
    REFUSED,
    /** It ended by itself without completing the task. */
    FAILED,
    /** Its machine is deleted or has begun a new agent epoch, or the worker's lease has expired. */
    LOST,
    /** Nothing, but a higher token at the worker would prove that it has ended. */
    NEEDS_FENCING
  }

  /**
   * Assesses an owned attempt by all that this leader knows of its machine.
   *
   * @param machine the machine that owns it, null if nothing is known of that
   */
  public Verdict assess(Ownership.OwnedTask owned, MachineState machine, Duration now) {
    if (machine == null) {
      return assessLease(termStart.plus(timings.authority()), now);
    }
    if (machine.isDeleted()) {
      return Verdict.LOST;
    }
    if (machine.hasHeartbeat()) {
      if (machine.latestHeartbeat().agentEpoch() > owned.attempt().agentEpoch()) {
        return Verdict.LOST;
      }
      Verdict reported = assessHeartbeat(owned, machine);
      if (reported != Verdict.OWNED) {
        return reported;
      }
    }
    return assessLease(keptAliveUntil(machine), now);
  }

  private Verdict assessHeartbeat(Ownership.OwnedTask owned, MachineState machine) {
    Attempt attempt = owned.attempt();
    Optional<WorkerHeartbeat.TaskStatus> found =
        machine.contact().findTask(owned.taskId(), attempt.number());
    if (found.isEmpty()) {
      return assessAbsence(owned, machine);
    }
    WorkerHeartbeat.TaskStatus status = found.get();
    if (status.state() != WorkerHeartbeat.TaskState.EXITED) {
      return Verdict.OWNED;
    }
    if (status.cause() == WorkerHeartbeat.ExitCause.DONE) {
      return Verdict.DONE;
    }
    // A start without an answer yet could run once more after the worker has dropped the attempt.
    if (!machine.contact().hasTokenAbove(tokens.termBase()) || !machine.areCommandsFenced()) {
      return Verdict.NEEDS_FENCING;
    }
    return switch (status.cause()) {
      case STOPPED -> Verdict.ENDED;
      case INSUFFICIENT_RESOURCES, OTHER_ATTEMPT_PRESENT, UNKNOWN_JOB -> Verdict.REFUSED;
      default -> Verdict.FAILED;
    };
  }

  /** Absence proves something only of a task that will not be started again. */
  private Verdict assessAbsence(Ownership.OwnedTask owned, MachineState machine) {
    if (!stopRequests.isRequested(owned)
        || machine.latestHeartbeat().agentEpoch() != owned.attempt().agentEpoch()) {
      return Verdict.OWNED;
    }
    WorkerCommand start = WorkerCommand.start(owned.taskId(), owned.attempt().number());
    long startToken = machine.commands().startTokenOr(start, tokens.termBase());
    if (!machine.contact().hasTokenAbove(startToken) || !machine.areCommandsFenced()) {
      return Verdict.NEEDS_FENCING;
    }
    return Verdict.ENDED;
  }

  /** Until when this leader or an earlier one may have kept the worker alive. */
  private Duration keptAliveUntil(MachineState machine) {
    Duration keptAlive = machine.contact().lastLeaseRenewalAt();
    Duration byThisLeader = keptAlive == null ? termStart : keptAlive;
    boolean isFenced = machine.contact().hasTokenAbove(tokens.termBase());
    Duration byEarlierLeader = isFenced ? termStart : termStart.plus(timings.authority());
    return byThisLeader.compareTo(byEarlierLeader) > 0 ? byThisLeader : byEarlierLeader;
  }

  private Verdict assessLease(Duration keptAliveAt, Duration now) {
    return now.minus(keptAliveAt).compareTo(timings.workerLeaseExpiry()) > 0
        ? Verdict.LOST
        : Verdict.OWNED;
  }
}
