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
 * Creates, reads and writes JSON trees. The methods that read a required field throw a {@link
 * MalformedMessageException} that names the field if it is missing, has the wrong type or is out of
 * range.
 */
public final class Json {
  /**
   * The maximum of an amount or a number of seconds. Up to this limit, a duration in nanoseconds
   * fits into a long.
   */
  private static final double MAX_AMOUNT = 1e9;

  private static final double NANOS_PER_SECOND = 1e9;

  private Json() {}

  /** Returns a new empty object. */
  public static ObjectNode object() {
    return JsonNodeFactory.instance.objectNode();
  }

  /** Returns a new empty array. */
  public static ArrayNode array() {
    return JsonNodeFactory.instance.arrayNode();
  }

  /** Encodes the tree as UTF-8 text. */
  public static byte[] toBytes(JsonNode node) {
    try {
      return JsonTree.write(node);
    } catch (IOException e) {
      throw new IllegalStateException("the JSON tree cannot be encoded", e);
    }
  }

  /**
   * Parses a body that consists of a single JSON object.
   *
   * @throws MalformedMessageException if the body is not valid JSON, or not a single object
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
   * Returns the node's text after checking that it can be encoded as UTF-8. A JSON escape may name
   * half of a surrogate pair, which can be parsed but not written again. A heartbeat contains many
   * texts and few of them have surrogates, so an encoder is created only for those.
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

  /** Returns the field's text, or null if the field is missing or null. */
  static String textOrNull(JsonNode node, String field) throws MalformedMessageException {
    return isAbsent(node, field) ? null : requiredText(node, field);
  }

  /** Whether the field is missing or null; all protocols treat the two alike. */
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

  /** Returns the field's number, which must be from 0 to {@value #MAX_AMOUNT}. */
  static double requiredAmount(JsonNode node, String field) throws MalformedMessageException {
    JsonNode found = node.path(field);
    double value = found.doubleValue();
    if (!found.isNumber() || !(value >= 0) || value > MAX_AMOUNT) {
      throw new MalformedMessageException(field + " must be a number of at least 0");
    }
    return value;
  }

  /** Returns the field's duration, which is given as a decimal number of seconds. */
  static Duration requiredSeconds(JsonNode node, String field) throws MalformedMessageException {
    return Duration.ofNanos(Math.round(requiredAmount(node, field) * NANOS_PER_SECOND));
  }

  static double toSeconds(Duration duration) {
    return duration.toNanos() / NANOS_PER_SECOND;
  }

  /** Reads the resources of a task or machine from the three fields that hold them. */
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

  /** Returns the field's list of strings, which may be empty. */
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
