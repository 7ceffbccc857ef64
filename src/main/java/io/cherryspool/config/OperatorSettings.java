package io.cherryspool.config;

import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Optional;

/**
 * The settings that operators may add to those of the platform, read from an XML file. Every
 * element is optional; docs/operations.md describes them.
 *
 * @param maxRoundInterval the longest time until the next scheduling round if no event starts one
 *     earlier ({@code round-max})
 * @param stateStoreLease the time to live of a leader's lease in the state store, after which an
 *     unreachable leader is replaced ({@code state-lease})
 * @param failureCap the number of failures of a task after which it is retried only rarely ({@code
 *     failure-cap})
 * @param idleTimeout how long an idle instance is kept ({@code idle-keep})
 * @param maxStartDelay the age at which a job that has not started is scheduled before all others
 *     ({@code begin-within})
 * @param recovery how lost state is recovered; empty if nodes do not check for losses
 * @param partitions how nodes handle failing links
 */
public record OperatorSettings(
    Duration maxRoundInterval,
    Duration stateStoreLease,
    int failureCap,
    Duration idleTimeout,
    Duration maxStartDelay,
    Optional<RecoverySettings> recovery,
    PartitionSettings partitions) {
  /** The settings in use without a file, and the defaults for elements that a file omits. */
  public static final OperatorSettings DEFAULTS =
      new OperatorSettings(
          Duration.ofSeconds(1),
          Duration.ofSeconds(4),
          20,
          Duration.ofSeconds(40),
          Duration.ofSeconds(150),
          Optional.empty(),
          PartitionSettings.DEFAULTS);

  /**
   * Reads and validates a file. Blocks.
   *
   * @return the settings; the defaults if there is no such file
   * @throws ConfigException if the file cannot be read, or an element is unknown or invalid
   */
  public static OperatorSettings load(Path file) throws ConfigException {
    return Files.exists(file) ? OperatorSettingsParser.parse(file) : DEFAULTS;
  }
}
