package io.cherryspool.model;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests that durations are multiplied and divided with the same results as in the JDK. */
class DurationsTest {
  @ParameterizedTest
  @ValueSource(longs = {0, 1, 7, 999_999_999, 1_000_000_001, 86_400_000_000_123L, -5_000_000_000L})
  void resultsEqualThoseOfTheJdk(long nanos) {
    Duration duration = Duration.ofNanos(nanos);
    for (int factor = 1; factor < 9; factor++) {
      assertEquals(duration.multipliedBy(factor), Durations.multiply(duration, factor));
      assertEquals(duration.dividedBy(factor), Durations.divide(duration, factor));
    }
  }

  @Test
  void multiplyThrowsIfTheResultIsOutOfRange() {
    assertThrows(ArithmeticException.class, () -> Durations.multiply(Duration.ofDays(106_000), 2));
  }
}
