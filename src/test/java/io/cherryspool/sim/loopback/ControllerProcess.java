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

/** A controller as a process of its own, and what the kernel tells of it. */
public final class ControllerProcess {
  private static final String LISTENING = " listens on ";
  private static final String LEADING = " leading in term ";
  private static final String NO_LONGER = " no longer leading ";
  private static final long PATIENCE_S = 30;

  private final Process process;
  private final long startNanos = System.nanoTime();
  private final Path folder;
  private final Map<String, Used> threads = new HashMap<>();
  private final CompletableFuture<Reached> listening = new CompletableFuture<>();
  private final CompletableFuture<Reached> leading = new CompletableFuture<>();

  private volatile boolean leadershipLost;
  private final List<Line> lines = new ArrayList<>();

  private record Line(long nanos, String text) {}

  /** The processor time of a thread, also of one that has ended, as it was last seen. */
  private record Used(ThreadCpuTimes.Group group, long nanos) {}

  /** What had been used, and how long it had taken, when the log had a line. */
  public record Reached(ThreadCpuTimes used, double wallMillis) {}

  /** Starts the command in the directory; its log goes to the file. */
  public ControllerProcess(List<String> command, Path directory, Path log) throws IOException {
    process =
        new ProcessBuilder(command).directory(directory.toFile()).redirectErrorStream(true).start();
    folder = Path.of("/proc", String.valueOf(process.pid()));
    Thread reader = new Thread(() -> readLog(log), "log");
    reader.setDaemon(true);
    reader.start();
  }

  private void readLog(Path log) {
    try (BufferedReader reader = process.inputReader(StandardCharsets.UTF_8);
        BufferedWriter writer = Files.newBufferedWriter(log)) {
      for (String line = reader.readLine(); line != null; line = reader.readLine()) {
        if (line.contains(LISTENING)) {
          listening.complete(reached());
        } else if (line.contains(NO_LONGER)) {
          leadershipLost = true;
        } else if (line.contains(LEADING)) {
          leading.complete(reached());
        }
        synchronized (lines) {
          lines.add(new Line(System.nanoTime(), line));
        }
        writer.write(line);
        writer.newLine();
        writer.flush();
      }
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private Reached reached() {
    return new Reached(used(), (System.nanoTime() - startNanos) / 1e6);
  }

  /**
   * When the log first had the text at or after a moment, by {@link System#nanoTime}; -1 if never.
   */
  public long firstLogLineAt(String text, long since) {
    synchronized (lines) {
      for (Line line : lines) {
        if (line.nanos >= since && line.text.contains(text)) {
          return line.nanos;
        }
      }
    }
    return -1;
  }

  /** Ends the process without a signal that it could take notice of. */
  public void kill() throws InterruptedException {
    process.destroyForcibly().waitFor();
  }

  public Reached awaitListening() throws InterruptedException {
    return await(listening, "listen");
  }

  public Reached awaitLeading() throws InterruptedException {
    return await(leading, "lead");
  }

  public boolean leadershipLost() {
    return leadershipLost;
  }

  private static Reached await(CompletableFuture<Reached> event, String what)
      throws InterruptedException {
    try {
      return event.get(PATIENCE_S, TimeUnit.SECONDS);
    } catch (ExecutionException | TimeoutException e) {
      throw new IllegalStateException("the controller does not " + what, e);
    }
  }

  public long pid() {
    return process.pid();
  }

  /** The processor time that the process has used until now. */
  public synchronized ThreadCpuTimes used() {
    try (DirectoryStream<Path> tasks = Files.newDirectoryStream(folder.resolve("task"))) {
      for (Path task : tasks) {
        readThread(task);
      }
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    ThreadCpuTimes sum = ThreadCpuTimes.NONE;
    for (Used thread : threads.values()) {
      sum = sum.plus(thread.group, thread.nanos);
    }
    return sum;
  }

  private void readThread(Path task) throws IOException {
    try {
      String name = Files.readString(task.resolve("comm")).strip();
      String nanos = Files.readString(task.resolve("schedstat")).split(" ")[0];
      Used used = new Used(ThreadCpuTimes.Group.of(name), Long.parseLong(nanos));
      threads.put(task.getFileName().toString(), used);
    } catch (NoSuchFileException e) {
      // The thread has ended since its folder was listed.
    }
  }

  /** A field of the process's status in MiB, such as VmRSS. */
  public double statusMib(String field) throws IOException {
    for (String line : Files.readAllLines(folder.resolve("status"))) {
      if (line.startsWith(field + ":")) {
        return Long.parseLong(line.replaceAll("\\D", "")) / 1024.0;
      }
    }
    throw new IllegalArgumentException("no field " + field);
  }

  public void stop() throws InterruptedException {
    // By its handle, since Process.destroy would close the log as well.
    process.toHandle().destroy();
    if (!process.waitFor(PATIENCE_S, TimeUnit.SECONDS)) {
      process.destroyForcibly();
    }
  }
}
