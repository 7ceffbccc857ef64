package io.cherryspool.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import java.io.IOException;

/** JSON as people read it. */
final class JsonText {
  private static final ObjectMapper MAPPER =
      new ObjectMapper().enable(SerializationFeature.INDENT_OUTPUT);

  private JsonText() {}

  /** The same text on several lines; as it is if it is not JSON. */
  static String indented(String text) {
    try {
      return MAPPER.writeValueAsString(MAPPER.readTree(text));
    } catch (IOException e) {
      return text;
    }
  }

  /** The text as JSON; an empty object if it is none. */
  static JsonNode parse(String text) {
    try {
      return MAPPER.readTree(text);
    } catch (IOException e) {
      return MAPPER.createObjectNode();
    }
  }

  /** A field of an object; the whole text if there is none. */
  static String field(String text, String name) {
    try {
      JsonNode found = MAPPER.readTree(text).path(name);
      return found.isTextual() ? found.textValue() : text;
    } catch (IOException e) {
      return text;
    }
  }
}
