package io.cherryspool.cli;

import java.util.Locale;
import java.util.Set;

/** Sets up SLF4J's simple logger. */
final class Logging {
  private static final Set<String> LEVELS = Set.of("error", "warn", "info", "debug", "trace");

  private static final String DEFAULT_LEVEL = "info";

  private Logging() {}

  /**
   * Sets the level and the form of log lines. Must be called before the first logger is made.
   *
   * @param wanted the level's name in any case; null or an unknown one stands for the default
   */
  static void configure(String wanted) {
    String level = wanted == null ? DEFAULT_LEVEL : wanted.trim().toLowerCase(Locale.ROOT);
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
