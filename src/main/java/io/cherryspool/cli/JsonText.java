package io.cherryspool.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import java.io.IOException;

/** Parses and formats the JSON of nodes' responses for printing. */
final class JsonText {
  private static final ObjectMapper MAPPER =
      new ObjectMapper().enable(SerializationFeature.INDENT_OUTPUT);

  private JsonText() {}

  /** Returns the JSON indented over several lines, or the unchanged text if it is not JSON. */
  static String indented(String text) {
    try {
      return MAPPER.writeValueAsString(MAPPER.readTree(text));
    } catch (IOException e) {
      return text;
    }
  }

  /** Parses the text as JSON; returns an empty object if it is not JSON. */
  static JsonNode parse(String text) {
    try {
      return MAPPER.readTree(text);
    } catch (IOException e) {
      return MAPPER.createObjectNode();
    }
  }

  /** Returns the text of a field of a JSON object, or the whole text if there is no such field. */
  static String field(String text, String name) {
    JsonNode found = parse(text).path(name);
    return found.isTextual() ? found.textValue() : text;
  }
}
