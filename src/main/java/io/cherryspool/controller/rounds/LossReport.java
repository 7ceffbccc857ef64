package io.cherryspool.controller.rounds;

import io.cherryspool.controller.fleet.MachineState;
import io.cherryspool.controller.ownership.Ownership;
import io.cherryspool.controller.release.LeaseRenewalBound;
import io.cherryspool.model.LossProof;
import java.time.Duration;
import java.util.LinkedHashSet;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The tasks that one round found lost with their machines, for the log. There is one line for all
 * of them at level info, since thousands of tasks may be lost in a round while processor time is
 * scarce; at level debug there is one more line for each machine whose lease has expired.
 */
final class LossReport {
  private static final Logger LOG = LoggerFactory.getLogger(LossReport.class);

  private final TermState state;
  private final Set<String> machines = new LinkedHashSet<>();
  private final Map<String, Integer> countByProof = new TreeMap<>();
  private int count;

  LossReport(TermState state) {
    this.state = state;
  }

  /**
   * Adds a lost task.
   *
   * @param machine the machine that the task's attempt was assigned to, null if it is not known
   */
  void add(Ownership.OwnedTask owned, MachineState machine, LossProof proof) {
    count++;
    countByProof.merge(proof.label(), 1, Integer::sum);
    boolean isFirstOfMachine = machines.add(owned.attempt().machine());
    if (isFirstOfMachine && proof == LossProof.LEASE_EXPIRED && LOG.isDebugEnabled()) {
      logExpiredLease(owned, machine);
    }
  }

  /** Writes the line at level info, if any task was added. */
  void log() {
    if (count > 0) {
      LOG.info(
          "tasks lost with their machines: count={}, machines={}, proofs={}",
          count,
          machines,
          countByProof);
    }
  }

  private void logExpiredLease(Ownership.OwnedTask owned, MachineState machine) {
    LeaseRenewalBound bound = state.evidence().renewalBound();
    if (machine == null) {
      LOG.debug(
          "lease expired: machine={}, agentEpoch={}, unknown to this leader",
          owned.attempt().machine(),
          owned.attempt().agentEpoch());
      return;
    }
    LeaseRenewalBound.Renewal latest = bound.latestRenewal(machine);
    LOG.debug(
        "lease expired: machine={}, agentEpoch={}, ms since the start of the term: "
            + "latestRenewal={} by {}, lastReply={}, termAcknowledged={}, lastMessage={}",
        machine.name(),
        owned.attempt().agentEpoch(),
        millisInTerm(Optional.of(latest.at())),
        latest.renewer().name().toLowerCase(Locale.ROOT),
        millisInTerm(machine.contact().lastReplyAt()),
        millisInTerm(machine.contact().termAcknowledgedAt(state.tokens().term())),
        millisInTerm(Optional.ofNullable(machine.contact().lastHeartbeatAt())));
  }

  private String millisInTerm(Optional<Duration> time) {
    Duration termStart = state.evidence().renewalBound().termStart();
    return time.map(value -> Long.toString(value.minus(termStart).toMillis())).orElse("none");
  }
}
