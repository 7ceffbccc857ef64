import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** Writes what was sent, answered and run to a file, with the seconds since the start. */
final class Recorder {
  private final PrintWriter file;
  private final long start = System.nanoTime();

  Recorder(Path path) {
    try {
      file = new PrintWriter(Files.newBufferedWriter(path), true);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Returns the seconds since the start of the recording. */
  double now() {
    return (System.nanoTime() - start) / 1e9;
  }

  synchronized void add(String format, Object... values) {
    file.println(
        String.format(Locale.ROOT, "%9.3f  ", now()) + String.format(Locale.ROOT, format, values));
  }
}
