package io.cherryspool.sim.partition;

import io.cherryspool.reachability.NodeView;
import io.cherryspool.reachability.Reason;
import io.cherryspool.reachability.Verdict;
import io.cherryspool.reachability.VerdictRule;
import java.time.Duration;
import java.util.Set;
import java.util.SplittableRandom;

/** Verdicts by chance, which know nothing of the nodes' links, each of which holds for seconds. */
public final class RandomVerdicts implements VerdictRule {
  private static final int ONE_IN = 12;

  private final SplittableRandom random;
  private final Duration faultsEndAt;
  private Verdict held = new Verdict.Serve();

  /**
   * Draws verdicts by the seed.
   *
   * @param faultsEndAt from then on verdicts are right again, so that work can end
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
    if (random.nextInt(ONE_IN) == 0) {
      held = draw();
    }
    return held;
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
