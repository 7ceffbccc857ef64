package io.cherryspool.controller.api;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cherryspool.http.Reply;
import io.cherryspool.sim.fakes.ControlledTransport;
import io.cherryspool.sim.fakes.ControlledTransport.Interception;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests which submissions are refused, and that those of accepted jobs never are. */
class UserApiRefusalTest extends UserApiFixture {
  @Test
  void aRepeatedSubmissionOfAnAcceptedJobIsNeverRefused() {
    promptAnswer(firstNode.submit(description()));
    for (byte[] body :
        List.of(descriptionWithout("lane"), tooLargeDescription(), descriptionOfTeam("nobody"))) {
      assertEquals("200 pending", promptAnswer(firstNode.submit(body)));
    }
    stateStore.setDown(true);
    for (byte[] body :
        List.of(
            description(),
            descriptionWithout("lane"),
            tooLargeDescription(),
            descriptionOfTeam("nobody"))) {
      assertEquals("503", promptAnswer(firstNode.submit(body)));
    }
  }

  /** The second node has not read the job's record yet, and reads the records before it refuses. */
  @Test
  void anAcceptedJobIsNotRefusedByANodeThatHasNotReadItsRecord() {
    for (byte[] body :
        List.of(descriptionWithout("lane"), tooLargeDescription(), descriptionOfTeam("nobody"))) {
      UserApiNode laterNode = newNode();
      laterNode.start();
      runFor(0.05);
      laterNode.transport().interceptNext(ControlledTransport.READ, Interception.HOLD_REQUEST);
      CompletableFuture<Reply> answer = laterNode.submit(body);
      promptAnswer(firstNode.submit(description()));
      laterNode.transport().release(ControlledTransport.READ);
      assertEquals("200 pending", promptAnswer(answer));
    }
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "",
        "no JSON",
        "[]",
        "{}",
        "null",
        "{\"ref\":7}",
        "{\"ref\":\"req-000001/3\"}",
        "{\"ref\":\"req-000001\"}",
        "{\"ref\":\"req-000001\",\"shape\":\"array\",\"lane\":\"\\ud800\"}"
      })
  void malformedBodiesAreRefusedAtOnceEvenInAnOutage(String text) {
    byte[] body = text.getBytes(StandardCharsets.UTF_8);
    assertEquals("400", promptAnswer(firstNode.submit(body)));
    stateStore.setDown(true);
    assertEquals("400", promptAnswer(firstNode.submit(body)));
    runFor(30);
    assertEquals("400", promptAnswer(firstNode.submit(body)));
  }

  @Test
  void infeasibleJobsAreRefusedAtOnceEvenInAnOutage() {
    firstNode.setMachineTypes(null);
    assertEquals(
        "422",
        promptAnswer(firstNode.submit(descriptionOfTeam("nobody"))),
        "the team is unknown, whatever the machine types are");
    assertEquals(
        "503",
        promptAnswer(firstNode.submit(tooLargeDescription())),
        "a machine type may be large enough");
    firstNode.setMachineTypes(TYPES);
    assertEquals("422", promptAnswer(firstNode.submit(tooLargeDescription())));
    stateStore.setDown(true);
    assertEquals("422", promptAnswer(firstNode.submit(tooLargeDescription())));
    assertEquals("422", promptAnswer(firstNode.submit(descriptionOfTeam("nobody"))));
  }

  @Test
  void aNodeThatIsBehindItsPeersAsksToRetryInsteadOfRefusing() {
    stateStore.setDown(true);
    firstNode.setBehindPeers(true);
    assertEquals("503", promptAnswer(firstNode.submit(descriptionWithout("lane"))));
    assertEquals("503", promptAnswer(firstNode.submit(tooLargeDescription())));
    assertEquals("400", promptAnswer(firstNode.submit("no JSON".getBytes(StandardCharsets.UTF_8))));
  }

  /**
   * A single surrogate, half of a character, can be decoded but can't be encoded into the job's
   * record.
   */
  @Test
  void aTextThatCantBeEncodedIsMalformed() {
    String text =
        new String(description(), StandardCharsets.UTF_8).replace("\"img\"", "\"\\ud800\"");
    assertTrue(text.contains("ud800"));
    assertEquals("400", promptAnswer(firstNode.submit(text.getBytes(StandardCharsets.UTF_8))));
  }
}
