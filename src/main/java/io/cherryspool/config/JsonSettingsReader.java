package io.cherryspool.config;

import com.fasterxml.jackson.databind.JsonNode;
import io.cherryspool.http.Endpoint;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/**
 * Reads the fields of one JSON object of the settings. If a field is missing or invalid, the
 * methods throw a {@link ConfigException} with the field's dotted path from the root.
 *
 * @param origin the name of the settings file in error messages
 * @param path the dotted path of the object; empty for the root
 * @param node the object; for the root, any value that the file contains
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

  /** Returns the exception for a field whose value is well-formed but too small to run with. */
  ConfigException unusable(String field, String problem) {
    return invalid(field, " " + problem);
  }

  /** Returns a reader of the object in a field. */
  JsonSettingsReader object(String field) throws ConfigException {
    JsonNode found = node.path(field);
    if (!found.isObject()) {
      throw invalid(field, " must be an object");
    }
    return new JsonSettingsReader(origin, pathOf(field), found);
  }

  /** Returns readers of the objects in a list; none if the field is missing or null. */
  List<JsonSettingsReader> optionalList(String field) throws ConfigException {
    return isAbsent(node.path(field)) ? List.of() : list(field);
  }

  /** Returns readers of the objects in a list. */
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

  /** Returns the field's text, which must not be empty. */
  String text(String field) throws ConfigException {
    JsonNode found = node.path(field);
    if (!found.isTextual() || found.textValue().isEmpty()) {
      throw invalid(field, " must be a non-empty string");
    }
    return found.textValue();
  }

  /** Returns the field's address, which has the form {@code host:port}. */
  Endpoint endpoint(String field) throws ConfigException {
    try {
      return Endpoint.parse(text(field));
    } catch (IllegalArgumentException e) {
      throw invalid(field, ": " + e.getMessage());
    }
  }

  /** Returns the field's number of at least 0, or {@code defaultValue} if it is missing or null. */
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

  /** Returns the field's number, which must be greater than 0. */
  double positiveNumber(String field) throws ConfigException {
    double value = number(field, Double.NaN);
    if (!(value > 0)) {
      throw invalid(field, " must be a number above 0");
    }
    return value;
  }

  /** Returns the field's duration, which is given in seconds and must be greater than 0. */
  Duration seconds(String field) throws ConfigException {
    return Duration.ofNanos((long) (positiveNumber(field) * NANOS_PER_SECOND));
  }

  private static boolean isAbsent(JsonNode found) {
    return found.isMissingNode() || found.isNull();
  }
}
