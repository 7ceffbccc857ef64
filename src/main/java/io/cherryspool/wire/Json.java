package io.cherryspool.wire;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/** Reading and writing JSON trees, with checks that name the field. */
public final class Json {
  private Json() {}

  public static ObjectNode object() {
    return JsonNodeFactory.instance.objectNode();
  }

  public static ArrayNode array() {
    return JsonNodeFactory.instance.arrayNode();
  }

  public static byte[] toBytes(JsonNode node) {
    try {
      return JsonTree.write(node);
    } catch (IOException e) {
      throw new IllegalStateException("a tree that cannot be written", e);
    }
  }

  /** Reads one object and nothing after it. */
  public static JsonNode parseObject(byte[] body) throws MalformedMessageException {
    JsonNode node;
    try {
      node = JsonTree.read(body);
    } catch (IOException e) {
      throw new MalformedMessageException("not JSON");
    }
    if (!node.isObject()) {
      throw new MalformedMessageException("not a JSON object");
    }
    return node;
  }

  static String text(JsonNode node, String field) throws MalformedMessageException {
    JsonNode found = node.path(field);
    if (!found.isTextual() || found.textValue().isEmpty()) {
      throw new MalformedMessageException(field + " must be a non-empty string");
    }
    return writable(found, field);
  }

  /**
   * An escape may name half a character, which can be read and not be written again. Hardly any
   * text has surrogates, and every report is full of texts, so that only those are looked at.
   */
  private static String writable(JsonNode node, String field) throws MalformedMessageException {
    String text = node.textValue();
    if (hasSurrogate(text) && !StandardCharsets.UTF_8.newEncoder().canEncode(text)) {
      throw new MalformedMessageException(field + " holds half a character");
    }
    return text;
  }

  private static boolean hasSurrogate(String text) {
    for (int i = 0; i < text.length(); i++) {
      if (Character.isSurrogate(text.charAt(i))) {
        return true;
      }
    }
    return false;
  }

  static String textOrNull(JsonNode node, String field) throws MalformedMessageException {
    return absent(node, field) ? null : text(node, field);
  }

  static boolean absent(JsonNode node, String field) {
    JsonNode found = node.path(field);
    return found.isMissingNode() || found.isNull();
  }

  static boolean flag(JsonNode node, String field) throws MalformedMessageException {
    JsonNode found = node.path(field);
    if (!found.isBoolean()) {
      throw new MalformedMessageException(field + " must be true or false");
    }
    return found.booleanValue();
  }

  static long integer(JsonNode node, String field, long min, long max)
      throws MalformedMessageException {
    JsonNode found = node.path(field);
    if (!found.isIntegralNumber()
        || !found.canConvertToLong()
        || found.longValue() < min
        || found.longValue() > max) {
      throw new MalformedMessageException(field + " must be an integer from " + min + " to " + max);
    }
    return found.longValue();
  }

  static double amount(JsonNode node, String field) throws MalformedMessageException {
    JsonNode found = node.path(field);
    double value = found.doubleValue();
    if (!found.isNumber() || !(value >= 0) || value > 1e9) {
      throw new MalformedMessageException(field + " must be a number of at least 0");
    }
    return value;
  }

  static Duration seconds(JsonNode node, String field) throws MalformedMessageException {
    return Duration.ofNanos(Math.round(amount(node, field) * 1e9));
  }

  static List<String> texts(JsonNode node, String field) throws MalformedMessageException {
    JsonNode found = node.path(field);
    if (!found.isArray()) {
      throw new MalformedMessageException(field + " must be a list of strings");
    }
    List<String> result = new ArrayList<>();
    for (JsonNode item : found) {
      if (!item.isTextual()) {
        throw new MalformedMessageException(field + " must be a list of strings");
      }
      result.add(writable(item, field));
    }
    return result;
  }

  static double toSeconds(Duration duration) {
    return duration.toNanos() / 1e9;
  }
}
