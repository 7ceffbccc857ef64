package io.cherryspool.config;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import javax.xml.XMLConstants;
import javax.xml.parsers.DocumentBuilderFactory;
import javax.xml.parsers.ParserConfigurationException;
import org.w3c.dom.Element;
import org.w3c.dom.Node;
import org.xml.sax.ErrorHandler;
import org.xml.sax.SAXException;
import org.xml.sax.SAXParseException;

/**
 * What operators may set beyond the platform's settings, in {@code deploy/cherryspool.xml}. Every
 * element is optional; docs/operations.md describes them.
 */
public record OperatorSettings(
    Duration roundMax,
    Duration stateLease,
    int failureCap,
    Duration idleKeep,
    Duration beginWithin,
    Optional<RecoverySettings> recovery,
    PartitionSettings partitions) {
  private static final List<String> RECOVERY_ELEMENTS =
      List.of("recovery-gather", "recovery-hold", "snapshot-directory", "snapshot-interval");

  public static final OperatorSettings DEFAULTS =
      new OperatorSettings(
          Duration.ofSeconds(1),
          Duration.ofSeconds(4),
          20,
          Duration.ofSeconds(40),
          Duration.ofSeconds(150),
          Optional.empty(),
          PartitionSettings.DEFAULTS);

  /** Reads the file; the defaults where there is none. */
  public static OperatorSettings load(Path file) throws ConfigException {
    if (!Files.exists(file)) {
      return DEFAULTS;
    }
    Map<String, String> values = new HashMap<>();
    Element root = root(file);
    if (!root.getTagName().equals("cherryspool")) {
      throw new ConfigException(file + ": the root element must be <cherryspool>");
    }
    for (Node child = root.getFirstChild(); child != null; child = child.getNextSibling()) {
      if (child instanceof Element element
          && values.put(element.getTagName(), element.getTextContent().trim()) != null) {
        throw new ConfigException(file + ": <" + element.getTagName() + "> appears twice");
      }
    }
    OperatorSettings result =
        new OperatorSettings(
            duration(file, values, "round-max", DEFAULTS.roundMax, 0.05, 10),
            duration(file, values, "state-lease", DEFAULTS.stateLease, 1, 60),
            (int) number(file, values, "failure-cap", DEFAULTS.failureCap, 1, 1_000_000),
            duration(file, values, "idle-keep", DEFAULTS.idleKeep, 0, 86_400),
            duration(file, values, "begin-within", DEFAULTS.beginWithin, 1, 86_400),
            recovery(file, values),
            partitions(file, values));
    if (!values.isEmpty()) {
      throw new ConfigException(
          file + ": unknown element <" + values.keySet().iterator().next() + ">");
    }
    return result;
  }

  /** Losses of state are looked for where {@code <recovery>} is on. */
  private static Optional<RecoverySettings> recovery(Path file, Map<String, String> values)
      throws ConfigException {
    RecoverySettings defaults = RecoverySettings.DEFAULTS;
    boolean on = isOn(file, values, "recovery", false);
    if (!on) {
      for (String name : RECOVERY_ELEMENTS) {
        if (values.containsKey(name)) {
          throw new ConfigException(file + ": <" + name + "> needs <recovery>on</recovery>");
        }
      }
      return Optional.empty();
    }
    Duration gather = duration(file, values, "recovery-gather", defaults.gatherDuration(), 0.5, 60);
    boolean interval = values.containsKey("snapshot-interval");
    Duration every =
        duration(file, values, "snapshot-interval", defaults.snapshotInterval(), 1, 86_400);
    String directory = values.remove("snapshot-directory");
    if (directory == null && interval) {
      throw new ConfigException(file + ": <snapshot-interval> needs <snapshot-directory>");
    }
    if (directory != null && directory.isEmpty()) {
      throw new ConfigException(file + ": <snapshot-directory> must name a directory");
    }
    return Optional.of(
        new RecoverySettings(
            gather, Optional.ofNullable(directory).map(Path::of), every, heldClasses(values)));
  }

  private static PartitionSettings partitions(Path file, Map<String, String> values)
      throws ConfigException {
    PartitionSettings defaults = PartitionSettings.DEFAULTS;
    boolean damping = isOn(file, values, "flap-damping", defaults.dampsFlapping());
    if (!damping && values.containsKey("flap-half-life")) {
      throw new ConfigException(file + ": <flap-half-life> needs <flap-damping>on</flap-damping>");
    }
    return new PartitionSettings(
        damping,
        duration(file, values, "flap-half-life", defaults.flapHalfLife(), 5, 3600),
        isOn(file, values, "request-forwarding", defaults.forwardsRequests()));
  }

  private static boolean isOn(Path file, Map<String, String> values, String name, boolean absent)
      throws ConfigException {
    String mode = values.remove(name);
    if (mode != null && !mode.equals("on") && !mode.equals("off")) {
      throw new ConfigException(file + ": <" + name + "> must be on or off, not " + mode);
    }
    return mode == null ? absent : mode.equals("on");
  }

  private static Set<String> heldClasses(Map<String, String> values) {
    String text = values.remove("recovery-hold");
    return text == null || text.isEmpty() ? Set.of() : Set.of(text.split("\\s+"));
  }

  private static Element root(Path file) throws ConfigException {
    try {
      DocumentBuilderFactory factory = DocumentBuilderFactory.newInstance();
      factory.setFeature(XMLConstants.FEATURE_SECURE_PROCESSING, true);
      factory.setFeature("http://apache.org/xml/features/disallow-doctype-decl", true);
      var builder = factory.newDocumentBuilder();
      builder.setErrorHandler(new Strict());
      return builder.parse(file.toFile()).getDocumentElement();
    } catch (ParserConfigurationException | SAXException | IOException e) {
      throw new ConfigException(file + ": " + e.getMessage());
    }
  }

  private static Duration duration(
      Path file, Map<String, String> values, String name, Duration absent, double min, double max)
      throws ConfigException {
    double seconds = number(file, values, name, absent.toNanos() / 1e9, min, max);
    return Duration.ofNanos(Math.round(seconds * 1e9));
  }

  private static double number(
      Path file, Map<String, String> values, String name, double absent, double min, double max)
      throws ConfigException {
    String text = values.remove(name);
    if (text == null) {
      return absent;
    }
    try {
      double value = Double.parseDouble(text);
      if (value >= min && value <= max) {
        return value;
      }
    } catch (NumberFormatException e) {
      // Said below, with the range.
    }
    throw new ConfigException(
        file + ": <" + name + "> must be a number from " + min + " to " + max + ", not " + text);
  }

  /** Complaints become exceptions instead of lines on standard error. */
  private static final class Strict implements ErrorHandler {
    @Override
    public void warning(SAXParseException e) {
      // Nothing that would change a setting.
    }

    @Override
    public void error(SAXParseException e) throws SAXException {
      throw e;
    }

    @Override
    public void fatalError(SAXParseException e) throws SAXException {
      throw e;
    }
  }
}
