package io.cherryspool.wire;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.cherryspool.model.Resources;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/**
 * Creates, reads and writes JSON trees. A field that is missing or has the wrong type or range
 * causes a {@link MalformedMessageException} that names it.
 */
public final class Json {
  /** Bound on amounts and on durations in seconds; it keeps durations in nanoseconds in range. */
  private static final double MAX_AMOUNT = 1e9;

  private static final double NANOS_PER_SECOND = 1e9;

  private Json() {}

  /** A new empty object. */
  public static ObjectNode object() {
    return JsonNodeFactory.instance.objectNode();
  }

  /** A new empty array. */
  public static ArrayNode array() {
    return JsonNodeFactory.instance.arrayNode();
  }

  /** Writes the tree as UTF-8. */
  public static byte[] toBytes(JsonNode node) {
    try {
      return JsonTree.write(node);
    } catch (IOException e) {
      throw new IllegalStateException("a tree that cannot be written", e);
    }
  }

  /**
   * Reads one object with nothing after it.
   *
   * @throws MalformedMessageException if the body is not JSON, or not one object
   */
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

  static String requiredText(JsonNode node, String field) throws MalformedMessageException {
    JsonNode found = node.path(field);
    if (!found.isTextual() || found.textValue().isEmpty()) {
      throw new MalformedMessageException(field + " must be a non-empty string");
    }
    return encodableText(found, field);
  }

  /**
   * The node's text, checked to be encodable: an escape may name half of a surrogate pair, which
   * can be read but not written again. Few texts have surrogates, and each heartbeat has many
   * texts, so that an encoder is made for those few only.
   */
  private static String encodableText(JsonNode node, String field)
      throws MalformedMessageException {
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

  /** The field's text, or null if the field is missing or null. */
  static String textOrNull(JsonNode node, String field) throws MalformedMessageException {
    return isAbsent(node, field) ? null : requiredText(node, field);
  }

  /** Whether the field is missing or null, which mean the same in all protocols. */
  static boolean isAbsent(JsonNode node, String field) {
    JsonNode found = node.path(field);
    return found.isMissingNode() || found.isNull();
  }

  static boolean requiredBoolean(JsonNode node, String field) throws MalformedMessageException {
    JsonNode found = node.path(field);
    if (!found.isBoolean()) {
      throw new MalformedMessageException(field + " must be true or false");
    }
    return found.booleanValue();
  }

  static long requiredInteger(JsonNode node, String field, long min, long max)
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

  /** The field's number, from 0 to {@value #MAX_AMOUNT}. */
  static double requiredAmount(JsonNode node, String field) throws MalformedMessageException {
    JsonNode found = node.path(field);
    double value = found.doubleValue();
    if (!found.isNumber() || !(value >= 0) || value > MAX_AMOUNT) {
      throw new MalformedMessageException(field + " must be a number of at least 0");
    }
    return value;
  }

  /** The field's duration, given as a decimal number of seconds. */
  static Duration requiredSeconds(JsonNode node, String field) throws MalformedMessageException {
    return Duration.ofNanos(Math.round(requiredAmount(node, field) * NANOS_PER_SECOND));
  }

  static double toSeconds(Duration duration) {
    return duration.toNanos() / NANOS_PER_SECOND;
  }

  /** The resources of a task or machine, which have a field each. */
  static Resources requiredResources(JsonNode node) throws MalformedMessageException {
    return new Resources(
        requiredAmount(node, ProtocolFields.CPUS),
        requiredAmount(node, ProtocolFields.GPUS),
        requiredAmount(node, ProtocolFields.MEMORY_GB));
  }

  static void putResources(ObjectNode node, Resources resources) {
    node.put(ProtocolFields.CPUS, resources.cpus());
    node.put(ProtocolFields.GPUS, resources.gpus());
    node.put(ProtocolFields.MEMORY_GB, resources.memoryGb());
  }

  /** The field's list of strings, which may be empty. */
  static List<String> requiredTexts(JsonNode node, String field) throws MalformedMessageException {
    JsonNode found = node.path(field);
    if (!found.isArray()) {
      throw new MalformedMessageException(field + " must be a list of strings");
    }
    List<String> result = new ArrayList<>();
    for (JsonNode item : found) {
      if (!item.isTextual()) {
        throw new MalformedMessageException(field + " must be a list of strings");
      }
      result.add(encodableText(item, field));
    }
    return result;
  }
}
