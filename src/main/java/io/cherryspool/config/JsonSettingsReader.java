package io.cherryspool.config;

import com.fasterxml.jackson.databind.JsonNode;
import io.cherryspool.http.Endpoint;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/**
 * Reads the fields of one JSON object of the settings. A field that is missing or has a wrong value
 * is a {@link ConfigException} with the field's dotted path from the root.
 *
 * @param origin names the settings in errors
 * @param path the object's dotted path; empty for the root
 * @param node the object; for the root, whatever the file holds
 */
record JsonSettingsReader(String origin, String path, JsonNode node) {
  private static final double NANOS_PER_SECOND = 1e9;

  private String pathOf(String field) {
    return path.isEmpty() ? field : path + "." + field;
  }

  private ConfigException invalid(String field, String problem) {
    String setting = pathOf(field);
    return ConfigException.ofSetting(origin, setting, setting + problem);
  }

  /** The error of a field whose value is well-formed, and too small to run with. */
  ConfigException unusable(String field, String problem) {
    return invalid(field, " " + problem);
  }

  /** A reader of an object in a field. */
  JsonSettingsReader object(String field) throws ConfigException {
    JsonNode found = node.path(field);
    if (!found.isObject()) {
      throw invalid(field, " must be an object");
    }
    return new JsonSettingsReader(origin, pathOf(field), found);
  }

  /** Readers of the objects of a list; none if there is no list. */
  List<JsonSettingsReader> optionalList(String field) throws ConfigException {
    return isAbsent(node.path(field)) ? List.of() : list(field);
  }

  /** Readers of the objects of a list. */
  List<JsonSettingsReader> list(String field) throws ConfigException {
    JsonNode found = node.path(field);
    if (!found.isArray()) {
      throw invalid(field, " must be a list");
    }
    List<JsonSettingsReader> items = new ArrayList<>();
    for (int i = 0; i < found.size(); i++) {
      String item = field + "[" + i + "]";
      if (!found.get(i).isObject()) {
        throw invalid(item, " must be an object");
      }
      items.add(new JsonSettingsReader(origin, pathOf(item), found.get(i)));
    }
    return items;
  }

  /** A text that is not empty. */
  String text(String field) throws ConfigException {
    JsonNode found = node.path(field);
    if (!found.isTextual() || found.textValue().isEmpty()) {
      throw invalid(field, " must be a non-empty string");
    }
    return found.textValue();
  }

  /** An address in the form {@code host:port}. */
  Endpoint endpoint(String field) throws ConfigException {
    try {
      return Endpoint.parse(text(field));
    } catch (IllegalArgumentException e) {
      throw invalid(field, ": " + e.getMessage());
    }
  }

  /** A number of at least 0; {@code defaultValue} if there is none. */
  double number(String field, double defaultValue) throws ConfigException {
    JsonNode found = node.path(field);
    if (isAbsent(found)) {
      return defaultValue;
    }
    if (!found.isNumber() || !(found.doubleValue() >= 0)) {
      throw invalid(field, " must be a number of at least 0");
    }
    return found.doubleValue();
  }

  /** A number above 0. */
  double positive(String field) throws ConfigException {
    double value = number(field, Double.NaN);
    if (!(value > 0)) {
      throw invalid(field, " must be a number above 0");
    }
    return value;
  }

  /** A duration above 0, given in seconds. */
  Duration seconds(String field) throws ConfigException {
    return Duration.ofNanos((long) (positive(field) * NANOS_PER_SECOND));
  }

  private static boolean isAbsent(JsonNode found) {
    return found.isMissingNode() || found.isNull();
  }
}
