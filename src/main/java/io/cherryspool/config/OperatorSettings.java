package io.cherryspool.config;

import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Optional;

/**
 * What operators may set beyond the platform's settings, as XML. Every element is optional;
 * docs/operations.md describes them. Components are named after their elements.
 *
 * @param maxRoundInterval how long a scheduling round waits at most for an event that starts it
 * @param stateStoreLease after what time a leader that is not heard from is replaced
 * @param failureCap after how many failures a task is not restarted any more
 * @param idleTimeout for how long an idle instance is kept
 * @param maxStartDelay the age at which a job that has not begun is scheduled before all others
 * @param recovery how lost state is recovered; empty if losses are not looked for
 * @param partitions what is done about links that fail
 */
public record OperatorSettings(
    Duration maxRoundInterval,
    Duration stateStoreLease,
    int failureCap,
    Duration idleTimeout,
    Duration maxStartDelay,
    Optional<RecoverySettings> recovery,
    PartitionSettings partitions) {
  /** What holds without a file, and for elements that a file leaves out. */
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
   * Reads and checks a file; blocks.
   *
   * @return the settings; the defaults if there is no such file
   * @throws ConfigException if the file can't be read, or an element is unknown or unusable
   */
  public static OperatorSettings load(Path file) throws ConfigException {
    return Files.exists(file) ? OperatorSettingsParser.parse(file) : DEFAULTS;
  }
}
