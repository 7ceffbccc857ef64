package io.cherryspool.wire;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.cherryspool.model.Job;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Checks that encoded jobs are decoded to equal jobs, and that the error of an invalid submission
 * names the field.
 */
class UserProtocolTest {
  private static final String SUBMISSION =
      "{\"ref\":\"req-000412\",\"lane\":\"train\",\"owner\":\"vision\",\"shape\":\"array\","
          + "\"urgency\":\"urgent\",\"pieces\":16,\"vcpus\":8.0,\"gpus\":1.0,\"mem_gb\":64.0,"
          + "\"bundle\":\"img-07\",\"size_gb\":6.2,\"builds\":[\"g8\"],\"yard\":null,"
          + "\"together\":true,\"scatter\":false,\"loaners\":true,\"expect_s\":240.0,"
          + "\"bookmark_s\":30.0,\"stash_s\":4.0,\"due_s\":900.0,\"new_field\":[1]}";

  private static ObjectNode parse(String json) throws MalformedMessageException {
    return (ObjectNode) Json.parseObject(json.getBytes(StandardCharsets.UTF_8));
  }

  private static Job parseJob(ObjectNode node) throws MalformedMessageException {
    return UserProtocol.parseJob(node, Instant.EPOCH);
  }

  @Test
  void decodesAnEncodedJob() throws MalformedMessageException {
    Job job = parseJob(parse(SUBMISSION));
    assertEquals(job, parseJob(UserProtocol.encodeJob(job)));
  }

  @Test
  void decodesAnEncodedJobWithoutOptionalFields() throws MalformedMessageException {
    ObjectNode node = parse(SUBMISSION);
    node.remove("builds");
    node.remove("yard");
    node.putNull("due_s");
    Job job = parseJob(node);
    assertEquals(job, parseJob(UserProtocol.encodeJob(job)));
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "ref|\"job-1\"",
        "ref|\"req-12\"",
        "ref|7",
        "ref|\"req-000412/3\"",
        "lane|null",
        "owner|\"\"",
        "shape|\"ring\"",
        "urgency|\"now\"",
        "pieces|0",
        "pieces|100001",
        "pieces|1.5",
        "pieces|\"4\"",
        "vcpus|-1",
        "vcpus|\"8\"",
        "mem_gb|null",
        "bundle|[]",
        "size_gb|-0.5",
        "builds|\"g8\"",
        "builds|[1]",
        "yard|3",
        "together|1",
        "scatter|null",
        "loaners|\"yes\"",
        "expect_s|-2",
        "bookmark_s|true",
        "stash_s|null",
        "due_s|\"soon\"",
        "pieces|99999999999999999999",
        "vcpus|1e300"
      })
  void errorNamesAnInvalidField(String field, String value) throws MalformedMessageException {
    ObjectNode node = parse(SUBMISSION);
    node.set(field, parse("{\"v\":" + value + "}").get("v"));
    MalformedMessageException failure =
        assertThrows(MalformedMessageException.class, () -> parseJob(node));
    assertTrue(failure.getMessage().contains(field), failure.getMessage());
  }

  @Test
  void findsTheJobIdInAnInvalidSubmission() throws MalformedMessageException {
    assertEquals(
        Optional.of("req-000412"), UserProtocol.findJobId(parse("{\"ref\":\"req-000412\"}")));
    assertEquals(Optional.empty(), UserProtocol.findJobId(parse("{\"ref\":\"job-1\"}")));
    assertEquals(Optional.empty(), UserProtocol.findJobId(parse("{\"ref\":7}")));
    assertEquals(Optional.empty(), UserProtocol.findJobId(parse("{}")));
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {"''", "[]", "nul", "{\"a\":1", "{} {}", "{\"a\":NaN}", "7"})
  void rejectsABodyThatIsNotASingleObject(String text) {
    assertThrows(
        MalformedMessageException.class,
        () -> Json.parseObject(text.getBytes(StandardCharsets.UTF_8)));
  }
}
