package io.cherryspool.cli;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;

/** Runs commands in this process and captures their output. */
abstract class CapturedOutputFixture {
  private final ByteArrayOutputStream out = new ByteArrayOutputStream();
  private final ByteArrayOutputStream err = new ByteArrayOutputStream();
  private final PrintStream originalOut = System.out;
  private final PrintStream originalErr = System.err;

  @BeforeEach
  void captureOutput() {
    System.setOut(new PrintStream(out, true, StandardCharsets.UTF_8));
    System.setErr(new PrintStream(err, true, StandardCharsets.UTF_8));
  }

  @AfterEach
  void restoreOutput() {
    System.setOut(originalOut);
    System.setErr(originalErr);
  }

  /** Runs a command line and returns its exit status. */
  static int run(String... arguments) {
    return RootCommand.execute(arguments);
  }

  /** Returns what was printed to standard output so far. */
  String printedOutput() {
    return out.toString(StandardCharsets.UTF_8);
  }

  /** Returns what was printed to standard error since the last call. */
  String errorOutput() {
    String text = err.toString(StandardCharsets.UTF_8);
    err.reset();
    return text;
  }
}
