package io.cherryspool.controller.release;

import io.cherryspool.controller.fleet.MachineContact;
import io.cherryspool.controller.fleet.MachineState;
import io.cherryspool.controller.ownership.FencingTokenSource;
import io.cherryspool.controller.timing.Timings;
import java.time.Duration;

/**
 * Computes the latest time at which this leader or an earlier one may have renewed a worker's
 * lease.
 *
 * <p>An earlier leader may renew leases until its authority ends, or until the worker drops its
 * replies, whichever comes first. The worker drops them once it has accepted a token of this term,
 * which may be much later than this leader's first contact with it. This leader learns of that only
 * from the worker's messages, see {@link MachineContact#earlierTermsEndedBy}.
 *
 * <p>Used on the event loop only.
 */
public final class LeaseRenewalBound {
  private final Timings timings;
  private final FencingTokenSource tokens;
  private final Duration termStart;

  /**
   * Creates the bounds of a term.
   *
   * @param termStart when the leader's term began, by the clock of the event loop
   */
  LeaseRenewalBound(Timings timings, FencingTokenSource tokens, Duration termStart) {
    this.timings = timings;
    this.tokens = tokens;
    this.termStart = termStart;
  }

  /** The leader that may have renewed a lease last. */
  public enum Renewer {
    /** The leader of this term. */
    THIS_LEADER,
    /** A leader of an earlier term. */
    EARLIER_LEADER
  }

  /**
   * The latest time at which a lease may have been renewed.
   *
   * @param at the time by the clock of the event loop
   * @param renewer the leader that may have renewed the lease then
   */
  public record Renewal(Duration at, Renewer renewer) {}

  /** Returns when the leader's term began, by the clock of the event loop. */
  public Duration termStart() {
    return termStart;
  }

  /** Returns when earlier leaders may last have renewed the lease of any worker. */
  public Duration endOfEarlierAuthority() {
    return termStart.plus(timings.maxLeaderAuthority());
  }

  /** Returns when the worker's lease may last have been renewed. */
  public Renewal latestRenewal(MachineState machine) {
    Duration byThisLeader = renewalByThisLeader(machine.contact());
    Duration byEarlierLeader = renewalByEarlierLeader(machine.contact());
    return byThisLeader.compareTo(byEarlierLeader) > 0
        ? new Renewal(byThisLeader, Renewer.THIS_LEADER)
        : new Renewal(byEarlierLeader, Renewer.EARLIER_LEADER);
  }

  private Duration renewalByThisLeader(MachineContact contact) {
    Duration renewedAt = contact.lastLeaseRenewalAt();
    return renewedAt == null ? termStart : renewedAt;
  }

  private Duration renewalByEarlierLeader(MachineContact contact) {
    Duration authorityEnd = endOfEarlierAuthority();
    return contact
        .earlierTermsEndedBy(tokens.term())
        .filter(endedBy -> endedBy.compareTo(authorityEnd) < 0)
        .orElse(authorityEnd);
  }
}
