package io.cherryspool.wire;

import com.fasterxml.jackson.core.JsonEncoding;
import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonFactoryBuilder;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.MissingNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.Map;

/**
 * Reads and writes trees of JSON nodes using only Jackson's streaming parser and generator.
 *
 * <p>An {@code ObjectMapper} would do the same, but its first use loads type resolution,
 * serializers, date formats and locale data that no tree needs. Loading them takes a large part of
 * the processor time of a node's start-up.
 */
public final class JsonTree {
  /** The initial size of the output buffer; most messages fit into it. */
  private static final int INITIAL_OUTPUT_BYTES = 256;

  private static final JsonNodeFactory NODES = JsonNodeFactory.instance;
  private static final JsonFactory FACTORY =
      new JsonFactoryBuilder().disable(StreamReadFeature.INCLUDE_SOURCE_IN_LOCATION).build();

  private JsonTree() {}

  /**
   * Parses input that consists of a single JSON value.
   *
   * @return the value, or a missing node if the input is empty
   * @throws IOException if the input is not a single JSON value, or is nested deeper than Jackson's
   *     limit
   */
  public static JsonNode read(byte[] json) throws IOException {
    try (JsonParser parser = FACTORY.createParser(json)) {
      if (parser.nextToken() == null) {
        return MissingNode.getInstance();
      }
      JsonNode value = readValue(parser);
      if (parser.nextToken() != null) {
        throw new IOException("expected one JSON value, found another after it");
      }
      return value;
    }
  }

  private static JsonNode readValue(JsonParser parser) throws IOException {
    return switch (parser.currentToken()) {
      case START_OBJECT -> readObject(parser);
      case START_ARRAY -> readArray(parser);
      case VALUE_STRING -> NODES.textNode(parser.getText());
      case VALUE_NUMBER_INT -> readInteger(parser);
      case VALUE_NUMBER_FLOAT -> NODES.numberNode(parser.getDoubleValue());
      case VALUE_TRUE -> NODES.booleanNode(true);
      case VALUE_FALSE -> NODES.booleanNode(false);
      case VALUE_NULL -> NODES.nullNode();
      default -> throw new IOException("unexpected JSON token " + parser.currentToken());
    };
  }

  private static JsonNode readInteger(JsonParser parser) throws IOException {
    return switch (parser.getNumberType()) {
      case INT -> NODES.numberNode(parser.getIntValue());
      case LONG -> NODES.numberNode(parser.getLongValue());
      default -> NODES.numberNode(parser.getBigIntegerValue());
    };
  }

  /** Reads an object. If a field is repeated, its last value is used, as in Jackson. */
  private static JsonNode readObject(JsonParser parser) throws IOException {
    ObjectNode object = NODES.objectNode();
    String name = parser.nextFieldName();
    while (name != null) {
      parser.nextToken();
      object.set(name, readValue(parser));
      name = parser.nextFieldName();
    }
    return object;
  }

  private static JsonNode readArray(JsonParser parser) throws IOException {
    ArrayNode array = NODES.arrayNode();
    while (parser.nextToken() != JsonToken.END_ARRAY) {
      array.add(readValue(parser));
    }
    return array;
  }

  /**
   * Encodes the tree as UTF-8 text.
   *
   * @throws IOException if the tree contains a node that JSON cannot express
   */
  public static byte[] write(JsonNode node) throws IOException {
    ByteArrayOutputStream output = new ByteArrayOutputStream(INITIAL_OUTPUT_BYTES);
    try (JsonGenerator generator = FACTORY.createGenerator(output, JsonEncoding.UTF8)) {
      writeValue(node, generator);
    }
    return output.toByteArray();
  }

  private static void writeValue(JsonNode node, JsonGenerator generator) throws IOException {
    switch (node.getNodeType()) {
      case OBJECT -> writeObject(node, generator);
      case ARRAY -> writeArray(node, generator);
      case STRING -> generator.writeString(node.textValue());
      case NUMBER -> writeNumber(node, generator);
      case BOOLEAN -> generator.writeBoolean(node.booleanValue());
      case NULL -> generator.writeNull();
      default -> throw new IOException("JSON cannot express a node of type " + node.getNodeType());
    }
  }

  private static void writeObject(JsonNode node, JsonGenerator generator) throws IOException {
    generator.writeStartObject();
    for (Map.Entry<String, JsonNode> field : node.properties()) {
      generator.writeFieldName(field.getKey());
      writeValue(field.getValue(), generator);
    }
    generator.writeEndObject();
  }

  private static void writeArray(JsonNode node, JsonGenerator generator) throws IOException {
    generator.writeStartArray();
    for (JsonNode item : node) {
      writeValue(item, generator);
    }
    generator.writeEndArray();
  }

  private static void writeNumber(JsonNode node, JsonGenerator generator) throws IOException {
    switch (node.numberType()) {
      case INT -> generator.writeNumber(node.intValue());
      case LONG -> generator.writeNumber(node.longValue());
      case BIG_INTEGER -> generator.writeNumber(node.bigIntegerValue());
      case BIG_DECIMAL -> generator.writeNumber(node.decimalValue());
      default -> generator.writeNumber(node.doubleValue());
    }
  }
}
