package io.cherryspool.controller.timing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cherryspool.config.OperatorSettings;
import io.cherryspool.config.Settings;
import io.cherryspool.http.Endpoint;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests that the cancel limit is kept with any settings of the operators. */
class TimingsTest {
  private static final Endpoint UNUSED_ENDPOINT = new Endpoint("127.0.0.1", 1);

  private static Settings settings(double lease, double cancel) {
    return new Settings(
        "n0",
        "a",
        UNUSED_ENDPOINT,
        UNUSED_ENDPOINT,
        List.of(),
        UNUSED_ENDPOINT,
        UNUSED_ENDPOINT,
        List.of(),
        Map.of(),
        Duration.ofSeconds(2),
        seconds(lease),
        seconds(cancel),
        new Settings.StateStoreLimits(100, 50, 2048, 12),
        6,
        Duration.ofSeconds(6),
        100);
  }

  private static Duration seconds(double seconds) {
    return Duration.ofMillis((long) (seconds * 1000));
  }

  /** Guards against raising a shorter authority to the length of the state store lease. */
  @ParameterizedTest
  @CsvSource({"16,36,4", "16,36,60", "16,24,4", "30,37,10", "24,54,1"})
  void theStateStoreLeaseIsShortenedRatherThanTheAuthorityRaised(
      double lease, double cancel, double stateLease) {
    OperatorSettings defaults = OperatorSettings.DEFAULTS;
    Settings settings = settings(lease, cancel);
    Timings timings =
        Timings.fromSettings(
            settings,
            new OperatorSettings(
                defaults.maxRoundInterval(),
                seconds(stateLease),
                defaults.failureCap(),
                defaults.idleTimeout(),
                defaults.maxStartDelay(),
                Optional.empty(),
                defaults.partitions()));
    assertEquals(settings.maxLeaderAuthority(), timings.maxLeaderAuthority());
    assertTrue(timings.stateStoreLease().compareTo(timings.maxLeaderAuthority()) <= 0);
    assertTrue(timings.stateStoreLease().compareTo(seconds(stateLease)) <= 0);
    assertTrue(
        timings.maxLeaderAuthority().plus(settings.workerLease()).compareTo(seconds(cancel)) < 0,
        "a task whose lease is renewed as late as possible ends within the limit");
  }
}
