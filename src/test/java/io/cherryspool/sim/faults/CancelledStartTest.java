package io.cherryspool.sim.faults;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cherryspool.model.Job;
import io.cherryspool.sim.cluster.DirectedFaultsFixture;
import io.cherryspool.sim.fakes.FakeWorker;
import java.time.Duration;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Checks that a start that arrives after the cancellation of its job does not outlast it. */
class CancelledStartTest extends DirectedFaultsFixture {
  private static final double CANCEL_AFTER_S = 1;
  private static final double REPLY_ARRIVES_WITHIN_S = 0.02;
  private static final double IMAGE_FETCH_S = 3;
  private static final Duration SILENCE = Duration.ofSeconds(30);

  private FakeWorker victim;

  /**
   * Guards against a reply that renews the lease of a machine and leaves a task of a cancelled job
   * there, whose start arrived while the heartbeat was on its way. If the machine then reaches no
   * controller, the task would run for another lease.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4})
  void replyStopsTaskWhoseStartArrivedAfterTheHeartbeatWasSent(long seed) {
    startCluster(seed, 3);
    Duration cutDuration = Duration.ofMillis(8500);
    cluster.network().commandDelays().begin(host -> cutOff(host, cutDuration), () -> Duration.ZERO);
    Job job = submit("blue", 1, 1, LONG_RUN_TIME);
    runUntil(() -> victim != null, 0.001, 10_000);
    Duration cutAt = cluster.time().now();
    // Otherwise the silent machine would be deleted with the task.
    cluster.cloud().setDown(true);
    cluster.run(CANCEL_AFTER_S);
    cluster.users().cancel(job.id(), cluster.leader().address());
    cluster.run(cutAt.plus(cutDuration).minus(cluster.time().now()));
    cluster.run(REPLY_ARRIVES_WITHIN_S);
    assertTrue(cluster.rules().isCancelConfirmed(job.id()));
    assertTrue(
        victim.leaseRenewedAt().compareTo(cutAt.plusMillis(500)) > 0,
        "no heartbeat that was sent during the cut was answered");
    cluster.network().dropInbound(host(victim), SILENCE);
    cluster.network().dropOutbound(host(victim), SILENCE);
    cluster.run(IMAGE_FETCH_S);
    assertEquals(0, cluster.fleet().runningTaskCount(job), "the cancelled task runs");
  }

  /** Cuts the machine off from the leader when the first command is sent to it. */
  private boolean cutOff(String host, Duration duration) {
    if (victim == null) {
      victim =
          cluster.workers().stream()
              .filter(worker -> host(worker).equals(host))
              .findFirst()
              .orElseThrow();
      cluster.network().cut(cluster.leader().address().host(), host, duration);
    }
    return false;
  }
}
