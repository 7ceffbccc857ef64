package io.cherryspool.controller.release;

import io.cherryspool.controller.fleet.MachineState;
import io.cherryspool.controller.ownership.FencingTokenSource;
import io.cherryspool.controller.timing.Timings;
import java.time.Duration;

/**
 * Computes the latest time at which this leader or an earlier one may have renewed a worker's
 * lease.
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
    Duration renewedAt = machine.contact().lastLeaseRenewalAt();
    Duration byThisLeader = renewedAt == null ? termStart : renewedAt;
    boolean isFenced = machine.contact().hasTokenAbove(tokens.termBase());
    Duration byEarlierLeader = isFenced ? termStart : endOfEarlierAuthority();
    return byThisLeader.compareTo(byEarlierLeader) > 0
        ? new Renewal(byThisLeader, Renewer.THIS_LEADER)
        : new Renewal(byEarlierLeader, Renewer.EARLIER_LEADER);
  }
}
