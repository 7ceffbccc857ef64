package io.cherryspool.sim.loopback;

import java.io.BufferedReader;
import java.io.BufferedWriter;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/** A controller in a separate process, with its log and the kernel's accounting of the process. */
public final class ControllerProcess {
  private static final String LISTENING_TEXT = " listens on ";
  private static final String LEADING_TEXT = " leading in term ";
  private static final String LEADERSHIP_LOST_TEXT = " no longer leading ";
  private static final long TIMEOUT_S = 30;

  private final Process process;
  private final long startNanos = System.nanoTime();
  private final Path procDirectory;
  private final Map<String, ThreadUsage> threads = new HashMap<>();
  private final CompletableFuture<Milestone> listening = new CompletableFuture<>();
  private final CompletableFuture<Milestone> leading = new CompletableFuture<>();

  private volatile boolean hasLostLeadership;
  private final List<LogLine> lines = new ArrayList<>();

  private record LogLine(long nanos, String text) {}

  /** The last known processor time of a thread, which may have ended. */
  private record ThreadUsage(ThreadCpuTimes.Group group, long nanos) {}

  /**
   * The processor time that the process had used, and the milliseconds since its start, when a
   * certain line appeared in the log.
   */
  public record Milestone(ThreadCpuTimes cpuTimes, double wallMillis) {}

  /** Starts the command in the directory and writes its log to the file. */
  public ControllerProcess(List<String> command, Path directory, Path log) throws IOException {
    process =
        new ProcessBuilder(command).directory(directory.toFile()).redirectErrorStream(true).start();
    procDirectory = Path.of("/proc", String.valueOf(process.pid()));
    Thread reader = new Thread(() -> readLog(log), "log");
    reader.setDaemon(true);
    reader.start();
  }

  private void readLog(Path log) {
    try (BufferedReader reader = process.inputReader(StandardCharsets.UTF_8);
        BufferedWriter writer = Files.newBufferedWriter(log)) {
      for (String line = reader.readLine(); line != null; line = reader.readLine()) {
        if (line.contains(LISTENING_TEXT)) {
          listening.complete(milestone());
        } else if (line.contains(LEADERSHIP_LOST_TEXT)) {
          hasLostLeadership = true;
        } else if (line.contains(LEADING_TEXT)) {
          leading.complete(milestone());
        }
        synchronized (lines) {
          lines.add(new LogLine(System.nanoTime(), line));
        }
        writer.write(line);
        writer.newLine();
        writer.flush();
      }
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private Milestone milestone() {
    return new Milestone(cpuTimes(), (System.nanoTime() - startNanos) / 1e6);
  }

  /**
   * Returns the {@link System#nanoTime} at which the text first appeared in the log, counting only
   * lines since the given time; -1 if there is no such line.
   */
  public long timeOfFirstLine(String text, long since) {
    synchronized (lines) {
      for (LogLine line : lines) {
        if (line.nanos >= since && line.text.contains(text)) {
          return line.nanos;
        }
      }
    }
    return -1;
  }

  /** Kills the process without a signal that it could handle. */
  public void kill() throws InterruptedException {
    process.destroyForcibly().waitFor();
  }

  public Milestone awaitListening() throws InterruptedException {
    return await(listening, "listen");
  }

  public Milestone awaitLeading() throws InterruptedException {
    return await(leading, "lead");
  }

  public boolean hasLostLeadership() {
    return hasLostLeadership;
  }

  private static Milestone await(CompletableFuture<Milestone> event, String action)
      throws InterruptedException {
    try {
      return event.get(TIMEOUT_S, TimeUnit.SECONDS);
    } catch (ExecutionException | TimeoutException e) {
      throw new IllegalStateException("timed out waiting for the controller to " + action, e);
    }
  }

  public long pid() {
    return process.pid();
  }

  /** Returns the processor time that the process has used so far. */
  public synchronized ThreadCpuTimes cpuTimes() {
    try (DirectoryStream<Path> tasks = Files.newDirectoryStream(procDirectory.resolve("task"))) {
      for (Path task : tasks) {
        updateThread(task);
      }
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    ThreadCpuTimes sum = ThreadCpuTimes.ZERO;
    for (ThreadUsage thread : threads.values()) {
      sum = sum.plus(thread.group, thread.nanos);
    }
    return sum;
  }

  private void updateThread(Path task) throws IOException {
    try {
      String name = Files.readString(task.resolve("comm")).strip();
      String nanos = Files.readString(task.resolve("schedstat")).split(" ")[0];
      ThreadUsage usage = new ThreadUsage(ThreadCpuTimes.Group.of(name), Long.parseLong(nanos));
      threads.put(task.getFileName().toString(), usage);
    } catch (NoSuchFileException e) {
      // The thread has ended since the directory was listed.
    }
  }

  /** Returns a memory field of the process's status in MiB, such as VmRSS. */
  public double statusMib(String field) throws IOException {
    for (String line : Files.readAllLines(procDirectory.resolve("status"))) {
      if (line.startsWith(field + ":")) {
        return Long.parseLong(line.replaceAll("\\D", "")) / 1024.0;
      }
    }
    throw new IllegalArgumentException("the process status has no field " + field);
  }

  public void stop() throws InterruptedException {
    // Uses the handle, since Process.destroy would also close the stream of the log.
    process.toHandle().destroy();
    if (!process.waitFor(TIMEOUT_S, TimeUnit.SECONDS)) {
      process.destroyForcibly();
    }
  }
}
