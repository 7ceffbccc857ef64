package io.cherryspool.controller.leader;

import io.cherryspool.controller.fleet.MachineState;
import io.cherryspool.controller.provisioning.Provisioner;
import io.cherryspool.controller.rounds.SchedulingLoop;
import io.cherryspool.controller.rounds.TermState;
import io.cherryspool.controller.timing.Timings;
import io.cherryspool.lifecycle.EventLoop;
import io.cherryspool.model.Durations;
import java.time.Duration;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Decides when a new leader knows which tasks run on the machines well enough to place further
 * tasks.
 *
 * <p>Used on the event loop only.
 */
final class FailoverReconciliation {
  private static final Logger LOG = LoggerFactory.getLogger(FailoverReconciliation.class);

  /**
   * How long to wait for the answers of machines after the cloud has listed them. A live worker
   * answers a call within milliseconds; a lost packet adds a few hundred milliseconds.
   */
  private static final Duration MAX_ANSWER_TIME = Duration.ofMillis(1200);

  private final EventLoop loop;
  private final Duration termStart;
  private final Timings timings;
  private final Duration listLag;
  private final TermState state;
  private final SchedulingLoop rounds;
  private final Provisioner provisioner;
  private boolean isDone;

  /**
   * Creates the reconciliation for a term that begins now.
   *
   * @param termStart when this leader's term began
   * @param listLag the longest time until a new machine appears in the cloud's list
   */
  FailoverReconciliation(
      EventLoop loop,
      Duration termStart,
      Timings timings,
      Duration listLag,
      TermState state,
      SchedulingLoop rounds,
      Provisioner provisioner) {
    this.loop = loop;
    this.termStart = termStart;
    this.timings = timings;
    this.listLag = listLag;
    this.state = state;
    this.rounds = rounds;
    this.provisioner = provisioner;
  }

  /** Whether ownership has been rebuilt, so that tasks may be placed. */
  boolean isDone() {
    return isDone;
  }

  /**
   * Ends the adoption of unrecorded tasks if all of them are known and recorded; requests another
   * round otherwise. After a loss of state, tasks may run that no record holds. They are all known
   * once every machine that may run one has acknowledged a token of this term, or once every lease
   * from before this term has certainly expired.
   */
  void checkAdoptionComplete() {
    Duration now = loop.now();
    Duration leasesExpiredAt =
        state.evidence().renewalBound().endOfEarlierAuthority().plus(timings.workerLeaseExpiry());
    Duration listCompleteAt = termStart.plus(Durations.multiply(listLag, 2));
    boolean areLeasesExpired = now.compareTo(leasesExpiredAt) > 0;
    boolean isAllKnown =
        areLeasesExpired || (provisioner.isListReadSince(listCompleteAt) && isEveryMachineFenced());
    if (isAllKnown && state.tasks().adoption().isAllRecorded()) {
      LOG.info(
          "failover after a loss of state: reconciled what ran, ms={}, complete by {}",
          now.minus(termStart).toMillis(),
          areLeasesExpired ? "lease expiry" : "heartbeats of all machines");
      rounds.recordReconciliation();
    } else {
      rounds.requestRound();
    }
  }

  private boolean isEveryMachineFenced() {
    Set<String> names = new HashSet<>(provisioner.listedMachines());
    names.addAll(state.tasks().ownership().owningMachines());
    state.fleet().all().forEach(machine -> names.add(machine.name()));
    for (String name : names) {
      MachineState machine = state.fleet().get(name);
      boolean isFenced =
          machine != null && machine.contact().hasTokenAbove(state.tokens().termBase());
      if (!isFenced && !state.fleet().isDeleted(name)) {
        return false;
      }
    }
    return true;
  }

  /**
   * Allows tasks to be placed if every live worker has sent a heartbeat. A listed worker that has
   * neither sent a heartbeat nor answered a call within {@link #MAX_ANSWER_TIME} does not count as
   * live. While the cloud's list has not been read, the wait ends two heartbeat intervals after the
   * start of the term. Tasks of workers that are not live stay owned until they are proved to have
   * ended.
   *
   * @param firstListedAt when the cloud's list was first read in this term, empty before that
   */
  void checkOwnershipRebuilt(Optional<Duration> firstListedAt) {
    Duration now = loop.now();
    boolean isComplete = firstListedAt.isPresent() && haveAllSentHeartbeats();
    Duration limit =
        firstListedAt.isPresent()
            ? firstListedAt.get().plus(MAX_ANSWER_TIME)
            : termStart.plus(Durations.multiply(timings.heartbeatInterval(), 2));
    if (isComplete || now.compareTo(limit) > 0) {
      isDone = true;
      LOG.info(
          "failover: ownership rebuilt, machines={}, ms={}, {}",
          state.fleet().all().size(),
          now.minus(termStart).toMillis(),
          isComplete ? "all machines sent heartbeats" : "some machines sent no heartbeat");
      rounds.enablePlacement();
    }
  }

  private boolean haveAllSentHeartbeats() {
    for (MachineState machine : state.fleet().all()) {
      if (!machine.isDeleted() && !machine.hasHeartbeat()) {
        return false;
      }
    }
    for (String name : state.tasks().ownership().owningMachines()) {
      if (!state.fleet().isDeleted(name) && !state.fleet().hasSentHeartbeat(name)) {
        return false;
      }
    }
    return true;
  }
}
