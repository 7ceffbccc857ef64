package io.cherryspool.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import java.io.IOException;

/** Reads and lays out the JSON of nodes' answers for printing. */
final class JsonText {
  private static final ObjectMapper MAPPER =
      new ObjectMapper().enable(SerializationFeature.INDENT_OUTPUT);

  private JsonText() {}

  /** The same JSON over several lines; the text as it is if it is not JSON. */
  static String indented(String text) {
    try {
      return MAPPER.writeValueAsString(MAPPER.readTree(text));
    } catch (IOException e) {
      return text;
    }
  }

  /** The text as JSON; an empty object if it is not JSON. */
  static JsonNode parse(String text) {
    try {
      return MAPPER.readTree(text);
    } catch (IOException e) {
      return MAPPER.createObjectNode();
    }
  }

  /** The value of a text field of an object; the whole text if there is no such field. */
  static String field(String text, String name) {
    JsonNode found = parse(text).path(name);
    return found.isTextual() ? found.textValue() : text;
  }
}
