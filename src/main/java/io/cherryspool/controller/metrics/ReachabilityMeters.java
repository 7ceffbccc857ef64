package io.cherryspool.controller.metrics;

import io.cherryspool.lifecycle.EventLoop;
import io.cherryspool.mesh.LinkState;
import io.cherryspool.reachability.Reachability;
import io.cherryspool.reachability.RequestLink;
import io.cherryspool.reachability.Verdict;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.binder.MeterBinder;
import java.util.List;
import java.util.function.ToDoubleFunction;

/**
 * The meters of a node's links. A link is 0 if it is up, 1 if something failed, 2 if it is down.
 */
public final class ReachabilityMeters implements MeterBinder {
  private static final List<String> VERDICTS =
      List.of("pass-on", "hold-placing", "hold-zones", "hold-fleet", "make-way");

  private final Reachability reachability;
  private final EventLoop loop;

  public ReachabilityMeters(Reachability reachability, EventLoop loop) {
    this.reachability = reachability;
    this.loop = loop;
  }

  @Override
  public void bindTo(MeterRegistry registry) {
    link(registry, "state", reachability.stateLink());
    link(registry, "cloud", reachability.cloudLink());
    gauge(registry, "cherryspool.links.zones.flaps", from -> reachability.zoneFlapCount());
    gauge(registry, "cherryspool.links.peers.down", from -> peersDown());
    gauge(registry, "cherryspool.leadership.losses", from -> reachability.leadershipLosses());
    gauge(
        registry,
        "cherryspool.leadership.penalty",
        from -> reachability.leadershipPenalty(loop.now()));
    gauge(
        registry,
        "cherryspool.workers.redirected",
        from -> reachability.redirectedWorkers().count(loop.now()));
    for (String verdict : VERDICTS) {
      Gauge.builder("cherryspool.links.verdict", this, from -> has(verdict))
          .tag("verdict", verdict)
          .register(registry);
    }
  }

  private double has(String name) {
    Verdict verdict = reachability.verdict();
    return verdict.name().equals(name) ? 1 : 0;
  }

  private double peersDown() {
    return reachability.linkSummary(loop.now(), false, "").peers().stream()
        .filter(peer -> peer.state() == LinkState.DOWN)
        .count();
  }

  private void link(MeterRegistry registry, String name, RequestLink link) {
    String prefix = "cherryspool.links." + name;
    gauge(registry, prefix, from -> link.state(loop.now()).ordinal());
    gauge(registry, prefix + ".flaps", from -> link.damper().flapCount());
    gauge(registry, prefix + ".penalty", from -> link.damper().penalty(loop.now()));
  }

  private void gauge(
      MeterRegistry registry, String name, ToDoubleFunction<ReachabilityMeters> figure) {
    Gauge.builder(name, this, figure).register(registry);
  }
}
