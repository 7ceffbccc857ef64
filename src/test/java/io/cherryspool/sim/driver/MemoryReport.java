package io.cherryspool.sim.driver;

import io.cherryspool.sim.loopback.ControllerProcess;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Reports the memory use of the controllers, as measured by the kernel and the JDK's tools. The
 * controllers must run with -XX:NativeMemoryTracking=summary.
 */
final class MemoryReport {
  private static final List<String> KERNEL_FIELDS = List.of("VmRSS", "VmHWM", "RssAnon", "RssFile");

  /** The categories of native memory as named by jcmd; direct buffers belong to "Other". */
  private static final List<String> NATIVE_MEMORY_CATEGORIES =
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
    // Reads the kernel's figures first, since the tools below make the process load more classes.
    for (String field : KERNEL_FIELDS) {
      double[] figures = new double[controllers.size()];
      for (int i = 0; i < figures.length; i++) {
        figures[i] = controllers.get(i).statusMib(field);
      }
      table.addRow(field + ", MiB", figures);
    }
    addNativeMemory();
    addGarbageCollections();
  }

  private void addNativeMemory() throws IOException, InterruptedException {
    List<String> outputs = new ArrayList<>();
    for (ControllerProcess controller : controllers) {
      outputs.add(runTool("jcmd", String.valueOf(controller.pid()), "VM.native_memory", "summary"));
    }
    for (String category : NATIVE_MEMORY_CATEGORIES) {
      table.addRow(
          category + ", MiB committed",
          outputs.stream().mapToDouble(output -> committedMib(output, category)).toArray());
    }
  }

  private static double committedMib(String output, String category) {
    Pattern pattern =
        Pattern.compile("- +" + category + " \\(reserved=\\d+KB, committed=(\\d+)KB\\)");
    Matcher matcher = pattern.matcher(output);
    return matcher.find() ? Long.parseLong(matcher.group(1)) / 1024.0 : Double.NaN;
  }

  private void addGarbageCollections() throws IOException, InterruptedException {
    List<String> outputs = new ArrayList<>();
    for (ControllerProcess controller : controllers) {
      outputs.add(runTool("jstat", "-gc", String.valueOf(controller.pid())));
    }
    addColumns("heap used, MiB", outputs, 1024, "S0U", "S1U", "EU", "OU");
    addColumns("old generation used, MiB", outputs, 1024, "OU");
    addColumns("young collections", outputs, 1, "YGC");
    addColumns("young collections, ms in all", outputs, 1e-3, "YGCT");
    addColumns("full collections", outputs, 1, "FGC");
    addColumns("full collections, ms in all", outputs, 1e-3, "FGCT");
  }

  private void addColumns(String name, List<String> outputs, double divisor, String... columns) {
    table.addRow(
        name,
        outputs.stream().mapToDouble(output -> sum(output, List.of(columns)) / divisor).toArray());
  }

  /** Returns the sum of the given columns in the single data line of jstat's output. */
  private static double sum(String output, List<String> columns) {
    String[] lines = output.strip().split("\n");
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

  private static String runTool(String... command) throws IOException, InterruptedException {
    Process process = new ProcessBuilder(command).redirectErrorStream(true).start();
    String output = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
    if (process.waitFor() != 0) {
      throw new IOException(String.join(" ", command) + ": " + output);
    }
    return output;
  }

  @Override
  public String toString() {
    return table.toString();
  }
}
