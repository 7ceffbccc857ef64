package io.cherryspool.cli;

import java.nio.file.Path;

/** The entry point of the program. */
public final class Main {
  /**
   * The system property that enables Netty's flight-recorder events. Even if nothing is recorded,
   * they define classes and proxies when the first buffers are allocated, which takes a fifth of
   * the processor time of a node's start-up.
   */
  private static final String FLIGHT_RECORDER_EVENTS = "io.netty.jfr.enabled";

  private Main() {}

  /**
   * Runs the command that the arguments name, and ends the process with its exit status if it
   * fails.
   *
   * <p>The form in which the platform starts a node is recognized here, without picocli, which
   * parses all other command lines. Picocli's classes have a class-file format older than Java 6,
   * and class-data archives exclude such classes. Loading them took a third of the processor time
   * of a node's start-up, which is seconds on a small machine.
   */
  public static void main(String[] args) throws InterruptedException {
    Logging.configure(System.getenv("LOG_LEVEL"));
    System.setProperty(FLIGHT_RECORDER_EVENTS, "false");
    boolean isPlatformStart =
        args.length == 3 && args[0].equals("serve") && args[1].equals("--config");
    int status =
        isPlatformStart
            ? NodeLauncher.serve(Path.of(args[2]), Path.of(LoadedSettings.DEFAULT_OPERATORS_FILE))
            : RootCommand.execute(args);
    if (status != 0) {
      System.exit(status);
    }
  }
}
