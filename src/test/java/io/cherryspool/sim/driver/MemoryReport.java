package io.cherryspool.sim.driver;

import io.cherryspool.sim.loopback.ControllerProcess;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * What the controllers hold in memory, as the kernel and the JDK's own tools tell it. They must run
 * with -XX:NativeMemoryTracking=summary.
 */
final class MemoryReport {
  private static final List<String> KERNEL = List.of("VmRSS", "VmHWM", "RssAnon", "RssFile");

  /** The parts of native memory as jcmd names them; direct buffers are under the fourth. */
  private static final List<String> PARTS =
      List.of(
          "Java Heap",
          "Metaspace",
          "Code",
          "Other",
          "Thread",
          "Shared class space",
          "Class",
          "GC",
          "Compiler",
          "Symbol",
          "Native Memory Tracking");

  private final List<ControllerProcess> controllers;
  private final MarkdownTable table =
      new MarkdownTable("memory", "leader", "follower asked", "follower");

  MemoryReport(List<ControllerProcess> controllers) throws IOException, InterruptedException {
    this.controllers = controllers;
    // The kernel's figures first, since the tools below make a process load more.
    for (String field : KERNEL) {
      double[] figures = new double[controllers.size()];
      for (int i = 0; i < figures.length; i++) {
        figures[i] = controllers.get(i).statusMib(field);
      }
      table.row(field + ", MiB", figures);
    }
    addNativeMemory();
    addCollections();
  }

  private void addNativeMemory() throws IOException, InterruptedException {
    List<String> texts = new ArrayList<>();
    for (ControllerProcess controller : controllers) {
      texts.add(output("jcmd", String.valueOf(controller.pid()), "VM.native_memory", "summary"));
    }
    for (String part : PARTS) {
      table.row(
          part + ", MiB committed",
          texts.stream().mapToDouble(text -> committed(text, part)).toArray());
    }
  }

  private static double committed(String text, String part) {
    Pattern pattern = Pattern.compile("- +" + part + " \\(reserved=\\d+KB, committed=(\\d+)KB\\)");
    Matcher matcher = pattern.matcher(text);
    return matcher.find() ? Long.parseLong(matcher.group(1)) / 1024.0 : Double.NaN;
  }

  private void addCollections() throws IOException, InterruptedException {
    List<String> texts = new ArrayList<>();
    for (ControllerProcess controller : controllers) {
      texts.add(output("jstat", "-gc", String.valueOf(controller.pid())));
    }
    collections("heap used, MiB", texts, 1024, "S0U", "S1U", "EU", "OU");
    collections("old generation used, MiB", texts, 1024, "OU");
    collections("young collections", texts, 1, "YGC");
    collections("young collections, ms in all", texts, 1e-3, "YGCT");
    collections("full collections", texts, 1, "FGC");
    collections("full collections, ms in all", texts, 1e-3, "FGCT");
  }

  private void collections(String name, List<String> texts, double unit, String... columns) {
    table.row(
        name, texts.stream().mapToDouble(text -> sum(text, List.of(columns)) / unit).toArray());
  }

  /** The sum of some columns of jstat's one line. */
  private static double sum(String text, List<String> columns) {
    String[] lines = text.strip().split("\n");
    String[] names = lines[0].strip().split(" +");
    String[] values = lines[1].strip().split(" +");
    double sum = 0;
    for (int i = 0; i < names.length; i++) {
      if (columns.contains(names[i])) {
        sum += Double.parseDouble(values[i]);
      }
    }
    return sum;
  }

  private static String output(String... command) throws IOException, InterruptedException {
    Process process = new ProcessBuilder(command).redirectErrorStream(true).start();
    String text = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
    if (process.waitFor() != 0) {
      throw new IOException(String.join(" ", command) + ": " + text);
    }
    return text;
  }

  @Override
  public String toString() {
    return table.toString();
  }
}
