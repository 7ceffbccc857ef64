package io.cherryspool.wire;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Checks that {@link JsonTree} reads the same trees as Jackson's mapper and rejects the same input.
 */
class JsonTreeTest {
  private static final JsonMapper MAPPER =
      JsonMapper.builder()
          .disable(StreamReadFeature.INCLUDE_SOURCE_IN_LOCATION)
          .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
          .build();

  /** The stack size of a node's threads, which read nested bodies recursively. */
  private static final long STACK_BYTES = 512 * 1024;

  private static byte[] utf8(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "{}",
        "[]",
        "null",
        "\"text\"",
        "{\"a\":1,\"b\":{\"c\":[true,false,null]},\"a\":2}",
        "[0,-1,2147483647,2147483648,-9223372036854775808,9223372036854775807]",
        "[9223372036854775808,123456789012345678901234567890]",
        "[0.1,1e3,-2.5E-3,1.0,1e999,4.9e-324]",
        "{\"\\u00e9\":\"\\ud83d\\ude00 \\\"\\\\ \\n\"}",
        " { \"a\" : [ ] } "
      })
  void readsValidInputLikeJacksonsMapper(String json) throws IOException {
    JsonNode expected = MAPPER.readTree(utf8(json));
    assertEquals(expected, JsonTree.read(utf8(json)));
    assertArrayEquals(MAPPER.writeValueAsBytes(expected), JsonTree.write(expected));
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "x",
        "{",
        "{\"a\"}",
        "{\"a\":}",
        "[1,]",
        "{\"a\":1,}",
        "{} {}",
        "{}x",
        "[1]]",
        "{'a':1}",
        "NaN",
        "01",
        "\"a",
        "{\"a\":1]",
        "[1}",
        "]",
        "// no\n{}",
        "{\"a\":\"\u0001\"}"
      })
  void rejectsInputThatJacksonsMapperRejects(String json) {
    assertThrows(IOException.class, () -> MAPPER.readTree(utf8(json)));
    assertThrows(IOException.class, () -> JsonTree.read(utf8(json)));
  }

  @Test
  void readsEmptyInputAsAMissingNode() throws IOException {
    assertTrue(JsonTree.read(new byte[0]).isMissingNode());
    assertTrue(JsonTree.read(utf8("  ")).isMissingNode());
  }

  @Test
  void treatsCorruptedInputLikeJacksonsMapper() {
    SplittableRandom random = new SplittableRandom(7);
    byte[] whole =
        utf8("{\"spindle\":\"m-1\",\"pieces\":[{\"try\":1,\"status\":\"ended\"}],\"x\":-1.5}");
    int rejectedCount = 0;
    for (int i = 0; i < 2000; i++) {
      byte[] json = whole.clone();
      json[random.nextInt(json.length)] = (byte) random.nextInt(256);
      Object expected = read(() -> MAPPER.readTree(json));
      assertEquals(
          expected, read(() -> JsonTree.read(json)), new String(json, StandardCharsets.ISO_8859_1));
      rejectedCount += expected instanceof JsonNode ? 0 : 1;
    }
    assertTrue(rejectedCount > 200 && rejectedCount < 1900, "inputs rejected: " + rejectedCount);
  }

  private interface JsonReader {
    JsonNode read() throws IOException;
  }

  private static Object read(JsonReader reader) {
    try {
      return reader.read();
    } catch (IOException e) {
      return "refused";
    }
  }

  @Test
  void readsDeeplyNestedInputOnASmallStackOrRejectsIt() throws InterruptedException {
    List<Object> outcomes = new ArrayList<>();
    AtomicReference<Throwable> failure = new AtomicReference<>();
    Thread thread =
        new Thread(
            null,
            () -> {
              outcomes.add(read(() -> JsonTree.read(utf8(nested(990)))) instanceof JsonNode);
              outcomes.add(read(() -> JsonTree.read(utf8(nested(5000)))));
            },
            "small-stack",
            STACK_BYTES);
    thread.setUncaughtExceptionHandler((ended, cause) -> failure.set(cause));
    thread.start();
    thread.join();
    assertEquals(null, failure.get());
    assertEquals(List.of(true, "refused"), outcomes);
  }

  private static String nested(int depth) {
    return "{\"a\":[".repeat(depth / 2) + "]}".repeat(depth / 2);
  }
}
