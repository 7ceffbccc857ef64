package io.cherryspool.wire;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class UserProtocolTest {
  private static final String GOOD =
      "{\"ref\":\"req-000412\",\"lane\":\"train\",\"owner\":\"vision\",\"shape\":\"array\","
          + "\"urgency\":\"urgent\",\"pieces\":16,\"vcpus\":8.0,\"gpus\":1.0,\"mem_gb\":64.0,"
          + "\"bundle\":\"img-07\",\"size_gb\":6.2,\"builds\":[\"g8\"],\"yard\":null,"
          + "\"together\":true,\"scatter\":false,\"loaners\":true,\"expect_s\":240.0,"
          + "\"bookmark_s\":30.0,\"stash_s\":4.0,\"due_s\":900.0,\"new_field\":[1]}";

  private static ObjectNode good() throws MalformedMessageException {
    return (ObjectNode) Json.parseObject(GOOD.getBytes(StandardCharsets.UTF_8));
  }

  @Test
  void readsWhatItWrites() throws MalformedMessageException {
    var job = UserProtocol.parseJob(good(), Instant.EPOCH);
    assertEquals(job, UserProtocol.parseJob(UserProtocol.encodeJob(job), Instant.EPOCH));
    ObjectNode nulls = good();
    nulls.remove("builds");
    nulls.remove("yard");
    nulls.putNull("due_s");
    var open = UserProtocol.parseJob(nulls, Instant.EPOCH);
    assertEquals(open, UserProtocol.parseJob(UserProtocol.encodeJob(open), Instant.EPOCH));
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
  void namesTheFieldThatIsWrong(String field, String value) throws MalformedMessageException {
    ObjectNode node = good();
    node.set(
        field,
        Json.parseObject(("{\"v\":" + value + "}").getBytes(StandardCharsets.UTF_8)).get("v"));
    MalformedMessageException e =
        assertThrows(
            MalformedMessageException.class, () -> UserProtocol.parseJob(node, Instant.EPOCH));
    assertTrue(e.getMessage().contains(field), e.getMessage());
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {"''", "[]", "nul", "{\"a\":1", "{} {}", "{\"a\":NaN}", "7"})
  void refusesWhatIsNoObject(String text) {
    assertThrows(
        MalformedMessageException.class,
        () -> Json.parseObject(text.getBytes(StandardCharsets.UTF_8)));
  }
}
