package io.cherryspool.controller.metrics;

import io.cherryspool.lifecycle.EventLoop;
import io.cherryspool.mesh.LinkState;
import io.cherryspool.reachability.Reachability;
import io.cherryspool.reachability.RequestLink;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.binder.MeterBinder;
import java.util.List;
import java.util.function.ToDoubleFunction;

/**
 * The meters of a node's links, read when they are exported. The value of a link is 0 if it is up,
 * 1 if it is suspect, and 2 if it is down.
 */
public final class ReachabilityMeters implements MeterBinder {
  /** The names of the verdicts that are exported. Dashboards use these names. */
  private static final List<String> VERDICTS =
      List.of("pass-on", "hold-placing", "hold-zones", "hold-fleet", "make-way");

  private final Reachability reachability;
  private final EventLoop loop;

  /** Creates the meters, which use the time of the event loop. */
  public ReachabilityMeters(Reachability reachability, EventLoop loop) {
    this.reachability = reachability;
    this.loop = loop;
  }

  @Override
  public void bindTo(MeterRegistry registry) {
    bindLink(registry, "state", reachability.stateStoreLink());
    bindLink(registry, "cloud", reachability.cloudLink());
    bindGauge(registry, "cherryspool.links.zones.flaps", meters -> reachability.zoneFlapCount());
    bindGauge(registry, "cherryspool.links.peers.down", meters -> countDownPeers());
    bindGauge(registry, "cherryspool.leadership.losses", meters -> reachability.leadershipLosses());
    bindGauge(
        registry,
        "cherryspool.leadership.penalty",
        meters -> reachability.leadershipPenalty(loop.now()));
    bindGauge(
        registry,
        "cherryspool.workers.redirected",
        meters -> reachability.redirectedWorkers().count(loop.now()));
    for (String verdict : VERDICTS) {
      Gauge.builder("cherryspool.links.verdict", this, meters -> meters.isVerdict(verdict) ? 1 : 0)
          .tag("verdict", verdict)
          .register(registry);
    }
  }

  private boolean isVerdict(String name) {
    return reachability.verdict().name().equals(name);
  }

  private double countDownPeers() {
    return reachability.linkSummary(loop.now(), false, "").peers().stream()
        .filter(peer -> peer.state() == LinkState.DOWN)
        .count();
  }

  private void bindLink(MeterRegistry registry, String name, RequestLink link) {
    String prefix = "cherryspool.links." + name;
    bindGauge(registry, prefix, meters -> link.state(loop.now()).ordinal());
    bindGauge(registry, prefix + ".flaps", meters -> link.damper().flapCount());
    bindGauge(registry, prefix + ".penalty", meters -> link.damper().penalty(loop.now()));
  }

  private void bindGauge(
      MeterRegistry registry, String name, ToDoubleFunction<ReachabilityMeters> value) {
    Gauge.builder(name, this, value).register(registry);
  }
}
