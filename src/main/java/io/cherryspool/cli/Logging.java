package io.cherryspool.cli;

import java.util.Locale;
import java.util.Set;

/** Configures SLF4J's simple logger. */
final class Logging {
  private static final Set<String> LEVELS = Set.of("error", "warn", "info", "debug", "trace");

  private static final String DEFAULT_LEVEL = "info";

  private Logging() {}

  /**
   * Sets the log level and the format of log lines. Must be called before the first logger is
   * created.
   *
   * @param levelName the name of the level in upper or lower case; null or an unknown name selects
   *     the default
   */
  static void configure(String levelName) {
    String level = levelName == null ? DEFAULT_LEVEL : levelName.trim().toLowerCase(Locale.ROOT);
    if (!LEVELS.contains(level)) {
      level = DEFAULT_LEVEL;
    }
    System.setProperty("org.slf4j.simpleLogger.defaultLogLevel", level);
    System.setProperty("org.slf4j.simpleLogger.log.io.netty", "error");
    System.setProperty("org.slf4j.simpleLogger.showThreadName", "false");
    System.setProperty("org.slf4j.simpleLogger.showShortLogName", "true");
    System.setProperty("org.slf4j.simpleLogger.levelInBrackets", "true");
  }
}
