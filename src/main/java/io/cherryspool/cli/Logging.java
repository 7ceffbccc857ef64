package io.cherryspool.cli;

import java.util.Locale;
import java.util.Set;

/** Sets up SLF4J's simple logger, before the first logger is made. */
final class Logging {
  private static final Set<String> LEVELS = Set.of("error", "warn", "info", "debug", "trace");

  private Logging() {}

  static void configure(String wanted) {
    String level = wanted == null ? "info" : wanted.trim().toLowerCase(Locale.ROOT);
    if (!LEVELS.contains(level)) {
      level = "info";
    }
    System.setProperty("org.slf4j.simpleLogger.defaultLogLevel", level);
    System.setProperty("org.slf4j.simpleLogger.log.io.netty", "error");
    System.setProperty("org.slf4j.simpleLogger.showThreadName", "false");
    System.setProperty("org.slf4j.simpleLogger.showShortLogName", "true");
    System.setProperty("org.slf4j.simpleLogger.levelInBrackets", "true");
  }
}
