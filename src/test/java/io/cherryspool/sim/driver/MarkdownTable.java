package io.cherryspool.sim.driver;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** A Markdown table of figures. */
final class MarkdownTable {
  private final List<String> lines = new ArrayList<>();

  MarkdownTable(String... headings) {
    lines.add("| " + String.join(" | ", headings) + " |");
    lines.add("| ---" + " | ---:".repeat(headings.length - 1) + " |");
  }

  void addRow(String name, double... figures) {
    StringBuilder line = new StringBuilder("| ").append(name);
    for (double figure : figures) {
      line.append(" | ").append(format(figure));
    }
    lines.add(line.append(" |").toString());
  }

  /** Formats a figure with about three significant digits; further digits vary between runs. */
  private static String format(double figure) {
    if (Double.isNaN(figure)) {
      return "";
    }
    int decimals = Math.abs(figure) >= 100 ? 0 : Math.abs(figure) >= 10 ? 1 : 2;
    return String.format(Locale.ROOT, "%." + decimals + "f", figure);
  }

  @Override
  public String toString() {
    return String.join("\n", lines);
  }
}
