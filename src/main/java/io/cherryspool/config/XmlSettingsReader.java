package io.cherryspool.config;

import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import javax.xml.XMLConstants;
import javax.xml.parsers.DocumentBuilder;
import javax.xml.parsers.DocumentBuilderFactory;
import javax.xml.parsers.ParserConfigurationException;
import org.w3c.dom.Element;
import org.w3c.dom.Node;
import org.xml.sax.ErrorHandler;
import org.xml.sax.SAXException;
import org.xml.sax.SAXParseException;

/**
 * Reads a flat XML file of settings, with one element that contains text for each setting. Reading
 * an element removes it from this reader, so that only unknown elements remain at the end. If an
 * element is invalid, the methods throw a {@link ConfigException} with its name.
 */
final class XmlSettingsReader {
  private static final String NO_DOCTYPE = "http://apache.org/xml/features/disallow-doctype-decl";
  private static final double NANOS_PER_SECOND = 1e9;

  private final Path file;
  private final Map<String, String> values = new HashMap<>();

  private XmlSettingsReader(Path file) {
    this.file = file;
  }

  /** Reads a file whose root element has the given name. */
  static XmlSettingsReader read(Path file, String rootName) throws ConfigException {
    Element root = parse(file);
    if (!root.getTagName().equals(rootName)) {
      throw ConfigException.ofFile(file, "the root element must be <" + rootName + ">");
    }
    XmlSettingsReader reader = new XmlSettingsReader(file);
    for (Node child = root.getFirstChild(); child != null; child = child.getNextSibling()) {
      if (child instanceof Element element) {
        reader.put(element);
      }
    }
    return reader;
  }

  private static Element parse(Path file) throws ConfigException {
    try {
      DocumentBuilderFactory factory = DocumentBuilderFactory.newInstance();
      factory.setFeature(XMLConstants.FEATURE_SECURE_PROCESSING, true);
      factory.setFeature(NO_DOCTYPE, true);
      DocumentBuilder builder = factory.newDocumentBuilder();
      builder.setErrorHandler(new ThrowingErrorHandler());
      return builder.parse(file.toFile()).getDocumentElement();
    } catch (ParserConfigurationException | SAXException | IOException e) {
      throw ConfigException.ofFile(file, e.getMessage());
    }
  }

  private void put(Element element) throws ConfigException {
    String name = element.getTagName();
    if (values.put(name, element.getTextContent().trim()) != null) {
      throw invalid(name, "appears twice");
    }
  }

  /** Returns the exception for an element that is present but invalid. */
  ConfigException invalid(String name, String problem) {
    return ConfigException.ofSetting(file, name, "<" + name + "> " + problem);
  }

  /** Whether the element is present and was not read yet. */
  boolean has(String name) {
    return values.containsKey(name);
  }

  /** Removes an element and returns its text; empty if there is no such element. */
  Optional<String> takeText(String name) {
    return Optional.ofNullable(values.remove(name));
  }

  /**
   * Removes an element with the text {@code on} or {@code off} and returns whether it is on; {@code
   * defaultValue} if there is no such element.
   */
  boolean takeSwitch(String name, boolean defaultValue) throws ConfigException {
    Optional<String> text = takeText(name);
    if (text.isEmpty()) {
      return defaultValue;
    }
    return switch (text.get()) {
      case "on" -> true;
      case "off" -> false;
      default -> throw invalid(name, "must be on or off, not " + text.get());
    };
  }

  /**
   * Removes an element that contains seconds from {@code min} to {@code max} and returns them as a
   * duration; {@code defaultValue} if there is no such element.
   */
  Duration takeDuration(String name, Duration defaultValue, double min, double max)
      throws ConfigException {
    double seconds = takeNumber(name, defaultValue.toNanos() / NANOS_PER_SECOND, min, max);
    return Duration.ofNanos(Math.round(seconds * NANOS_PER_SECOND));
  }

  /**
   * Removes an element that contains a number from {@code min} to {@code max} and returns the
   * number; {@code defaultValue} if there is no such element.
   */
  double takeNumber(String name, double defaultValue, double min, double max)
      throws ConfigException {
    Optional<String> text = takeText(name);
    if (text.isEmpty()) {
      return defaultValue;
    }
    try {
      double value = Double.parseDouble(text.get());
      if (value >= min && value <= max) {
        return value;
      }
    } catch (NumberFormatException e) {
      // The exception below names the allowed range.
    }
    throw invalid(name, "must be a number from " + min + " to " + max + ", not " + text.get());
  }

  /** Throws an exception if an element was not read, since such an element is unknown. */
  void rejectUnreadElements() throws ConfigException {
    if (!values.isEmpty()) {
      String name = values.keySet().iterator().next();
      throw ConfigException.ofSetting(file, name, "unknown element <" + name + ">");
    }
  }

  /** Throws parse errors; the default handler would also print them to standard error. */
  private static final class ThrowingErrorHandler implements ErrorHandler {
    /** Ignores a warning, which does not affect any setting. */
    @Override
    public void warning(SAXParseException e) {}

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
