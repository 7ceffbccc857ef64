package io.cherryspool.cli;

import java.nio.file.Path;

/** The program's entry. */
public final class Main {
  /**
   * Netty's flight-recorder events define classes and proxies while the first buffers are taken,
   * recorded or not: a fifth of a starting node's processor time.
   */
  private static final String BUFFER_EVENTS = "io.netty.jfr.enabled";

  private Main() {}

  /**
   * Runs what the arguments name and ends the process with its exit status.
   *
   * <p>The one form in which the platform starts a node is recognized here. Everything else goes
   * through picocli, whose classes are in a format before Java 6, which class-data archives leave
   * out: loading them made up a third of a starting node's processor time, seconds on a small
   * machine.
   */
  public static void main(String[] args) throws InterruptedException {
    Logging.configure(System.getenv("LOG_LEVEL"));
    System.setProperty(BUFFER_EVENTS, "false");
    boolean isPlatformStart =
        args.length == 3 && args[0].equals("serve") && args[1].equals("--config");
    int status =
        isPlatformStart
            ? NodeLauncher.serve(Path.of(args[2]), Path.of(LoadedSettings.OPERATORS_FILE))
            : RootCommand.execute(args);
    if (status != 0) {
      System.exit(status);
    }
  }
}
