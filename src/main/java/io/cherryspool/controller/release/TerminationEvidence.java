package io.cherryspool.controller.release;

import io.cherryspool.controller.fleet.MachineState;
import io.cherryspool.controller.ownership.FencingTokenSource;
import io.cherryspool.controller.ownership.Ownership;
import io.cherryspool.controller.ownership.StopRequests;
import io.cherryspool.controller.timing.Timings;
import io.cherryspool.model.Attempt;
import io.cherryspool.model.LossProof;
import io.cherryspool.model.WorkerCommand;
import io.cherryspool.model.WorkerHeartbeat;
import java.time.Duration;
import java.util.Optional;

/**
 * Decides whether the attempt that owns a task is proved to have ended. A task is released only on
 * one of these proofs:
 *
 * <ul>
 *   <li>its worker reports that the attempt ended;
 *   <li>its worker no longer reports the attempt, after every start command that could still be
 *       executed was fenced;
 *   <li>its worker is in a later agent epoch;
 *   <li>the cloud has confirmed the deletion of the machine;
 *   <li>the last lease that could keep the worker's tasks running has certainly expired.
 * </ul>
 *
 * <p>Used on the event loop only.
 */
public final class TerminationEvidence {
  private final Timings timings;
  private final FencingTokenSource tokens;
  private final StopRequests stopRequests;
  private final LeaseRenewalBound renewalBound;

  /**
   * Creates the termination evidence of a term.
   *
   * @param termStart when the leader's term began, by the clock of the event loop
   */
  public TerminationEvidence(
      Timings timings, FencingTokenSource tokens, StopRequests stopRequests, Duration termStart) {
    this.timings = timings;
    this.tokens = tokens;
    this.stopRequests = stopRequests;
    this.renewalBound = new LeaseRenewalBound(timings, tokens, termStart);
  }

  /** What is proved about an attempt. */
  public enum Assessment {
    /** Nothing is proved: it may be running, or may still start. */
    OWNED,
    /** It has completed its task. */
    DONE,
    /** It was stopped, or can no longer start. */
    ENDED,
    /** Its worker refused to start it. */
    REFUSED,
    /** It ended by itself without completing the task. */
    FAILED,
    /** Its machine is deleted or has begun a new agent epoch, or the worker's lease has expired. */
    LOST,
    /**
     * Nothing is proved yet. If the worker acknowledges a higher fencing token, that proves the
     * end.
     */
    NEEDS_FENCING
  }

  /**
   * Assesses an owned attempt by all that this leader knows about its machine.
   *
   * @param machine the machine that the attempt was assigned to, null if this leader does not know
   *     it
   */
  public Assessment assess(Ownership.OwnedTask owned, MachineState machine, Duration now) {
    if (machine == null) {
      return assessLease(renewalBound.endOfEarlierAuthority(), now);
    }
    if (machine.isDeleted()) {
      return Assessment.LOST;
    }
    if (machine.hasHeartbeat()) {
      if (isInLaterEpoch(owned, machine)) {
        return Assessment.LOST;
      }
      Assessment reported = assessHeartbeat(owned, machine);
      if (reported != Assessment.OWNED) {
        return reported;
      }
    }
    return assessLease(renewalBound.latestRenewal(machine).at(), now);
  }

  /**
   * Returns the proof of the loss of an attempt that was assessed as {@link Assessment#LOST}.
   *
   * @param machine the machine that the attempt was assigned to, null if this leader does not know
   *     it
   */
  public static LossProof lossProof(Ownership.OwnedTask owned, MachineState machine) {
    if (machine != null && machine.isDeleted()) {
      return LossProof.MACHINE_DELETED;
    }
    return machine != null && machine.hasHeartbeat() && isInLaterEpoch(owned, machine)
        ? LossProof.LATER_AGENT_EPOCH
        : LossProof.LEASE_EXPIRED;
  }

  /** Returns the bound on the renewals of workers' leases on which the proof by expiry depends. */
  public LeaseRenewalBound renewalBound() {
    return renewalBound;
  }

  private static boolean isInLaterEpoch(Ownership.OwnedTask owned, MachineState machine) {
    return machine.latestHeartbeat().agentEpoch() > owned.attempt().agentEpoch();
  }

  private Assessment assessHeartbeat(Ownership.OwnedTask owned, MachineState machine) {
    Attempt attempt = owned.attempt();
    Optional<WorkerHeartbeat.TaskStatus> found =
        machine.contact().findTask(owned.taskId(), attempt.number());
    if (found.isEmpty()) {
      return assessAbsence(owned, machine);
    }
    WorkerHeartbeat.TaskStatus status = found.get();
    if (status.state() != WorkerHeartbeat.TaskState.EXITED) {
      return Assessment.OWNED;
    }
    if (status.cause() == WorkerHeartbeat.ExitCause.DONE) {
      return Assessment.DONE;
    }
    // A start command that is still in flight could run the attempt again after the worker has
    // dropped it.
    if (!machine.contact().hasTokenAbove(tokens.termBase()) || !machine.areCommandsFenced()) {
      return Assessment.NEEDS_FENCING;
    }
    return switch (status.cause()) {
      case STOPPED -> Assessment.ENDED;
      case INSUFFICIENT_RESOURCES, OTHER_ATTEMPT_PRESENT, UNKNOWN_JOB -> Assessment.REFUSED;
      default -> Assessment.FAILED;
    };
  }

  /**
   * Assesses an attempt that the heartbeat does not list. This proves its end only if no start
   * command for it is due or can still be executed.
   */
  private Assessment assessAbsence(Ownership.OwnedTask owned, MachineState machine) {
    if (!stopRequests.isRequested(owned)
        || machine.latestHeartbeat().agentEpoch() != owned.attempt().agentEpoch()) {
      return Assessment.OWNED;
    }
    WorkerCommand start = WorkerCommand.start(owned.taskId(), owned.attempt().number());
    long startToken = machine.commandDelivery().startTokenOr(start, tokens.termBase());
    if (!machine.contact().hasTokenAbove(startToken) || !machine.areCommandsFenced()) {
      return Assessment.NEEDS_FENCING;
    }
    return Assessment.ENDED;
  }

  private Assessment assessLease(Duration renewedAt, Duration now) {
    return now.minus(renewedAt).compareTo(timings.workerLeaseExpiry()) > 0
        ? Assessment.LOST
        : Assessment.OWNED;
  }
}
