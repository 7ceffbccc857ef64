package review;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

/** The record of a run: what was sent, answered and run, with the time since the start. */
final class Record implements AutoCloseable {
  private static final long START = System.nanoTime();
  private final PrintWriter out;

  Record(Path file) throws IOException {
    out = new PrintWriter(Files.newBufferedWriter(file, StandardCharsets.UTF_8));
  }

  /** Seconds since the start of the run. */
  static double now() {
    return (System.nanoTime() - START) / 1e9;
  }

  synchronized void line(String format, Object... arguments) {
    String text = String.format("%8.3f  %s", now(), String.format(format, arguments));
    out.println(text);
    out.flush();
  }

  /** Writes the line to standard output as well. */
  synchronized void result(String format, Object... arguments) {
    line(format, arguments);
    System.out.println(String.format(format, arguments));
  }

  @Override
  public synchronized void close() {
    out.close();
  }
}
