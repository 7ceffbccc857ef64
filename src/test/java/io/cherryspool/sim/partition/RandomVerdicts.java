package io.cherryspool.sim.partition;

import io.cherryspool.reachability.NodeView;
import io.cherryspool.reachability.Reason;
import io.cherryspool.reachability.Verdict;
import io.cherryspool.reachability.VerdictRule;
import java.time.Duration;
import java.util.Set;
import java.util.SplittableRandom;

/**
 * A rule that draws random verdicts, whatever the state of the nodes' links. Each verdict is kept
 * for some seconds.
 */
public final class RandomVerdicts implements VerdictRule {
  private static final int MEAN_EVALUATIONS_PER_DRAW = 12;

  private final SplittableRandom random;
  private final Duration faultsEndAt;
  private Verdict current = new Verdict.Serve();

  /**
   * Creates a rule that draws its verdicts from a random generator with this seed.
   *
   * @param faultsEndAt the time after which the verdict is always {@link Verdict.Serve}, so that
   *     all jobs can end
   */
  public RandomVerdicts(long seed, Duration faultsEndAt) {
    random = new SplittableRandom(seed);
    this.faultsEndAt = faultsEndAt;
  }

  @Override
  public Verdict evaluate(NodeView view) {
    if (view.now().compareTo(faultsEndAt) > 0) {
      return new Verdict.Serve();
    }
    if (random.nextInt(MEAN_EVALUATIONS_PER_DRAW) == 0) {
      current = draw();
    }
    return current;
  }

  private Verdict draw() {
    return switch (random.nextInt(7)) {
      case 0 -> new Verdict.SuspendPlacement(Reason.STATE_UNREACHABLE);
      case 1 -> new Verdict.SuspendZoneEviction(Set.of("a", "c"), Reason.ZONES_UNREACHABLE);
      case 2 -> new Verdict.SuspendFleetChanges(Reason.FLEET_UNREACHABLE);
      case 3 ->
          new Verdict.HandOverLeadership(
              random.nextBoolean()
                  ? "node-" + random.nextInt(5)
                  : Verdict.HandOverLeadership.ANY_NODE,
              Reason.WORKERS_REACH_OTHER_NODES);
      case 4 ->
          new Verdict.DelayCandidacy(
              Duration.ofMillis(random.nextInt(4000)), Reason.STATE_LINK_FLAPS);
      case 5 -> new Verdict.ForwardRequests(Reason.STATE_UNREACHABLE);
      default -> new Verdict.Serve();
    };
  }
}
