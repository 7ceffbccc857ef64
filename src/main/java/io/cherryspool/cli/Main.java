package io.cherryspool.cli;

import java.nio.file.Path;

/** The program's entry. */
public final class Main {
  private Main() {}

  /**
   * Netty's flight-recorder events make classes and proxies while the first buffers are taken,
   * recorded or not: a fifth of what a starting node takes of the processor.
   */
  private static final String BUFFER_EVENTS = "io.netty.jfr.enabled";

  /**
   * The one form in which the platform starts a node is taken up here. Everything else goes through
   * picocli, whose classes no class-data archive takes, since they are of a format before Java 6:
   * loading them made up a third of a starting node's processor time, seconds on a small machine.
   */
  public static void main(String[] args) throws InterruptedException {
    Logging.configure(System.getenv("LOG_LEVEL"));
    System.setProperty(BUFFER_EVENTS, "false");
    boolean plain = args.length == 3 && args[0].equals("serve") && args[1].equals("--config");
    int status =
        plain
            ? NodeLauncher.serve(Path.of(args[2]), Path.of(NodeLauncher.OPERATORS_FILE))
            : RootCommand.execute(args);
    if (status != 0) {
      System.exit(status);
    }
  }
}
