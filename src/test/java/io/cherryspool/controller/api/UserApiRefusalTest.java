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

/** Which submissions are refused, and that those of accepted jobs never are. */
class UserApiRefusalTest extends UserApiFixture {
  @Test
  void anAcceptedJobIsNeverRefusedAgain() {
    promptAnswer(one.submit(description()));
    for (byte[] body :
        List.of(descriptionWithout("lane"), tooLargeDescription(), descriptionOfTeam("nobody"))) {
      assertEquals("200 pending", promptAnswer(one.submit(body)));
    }
    stateStore.setDown(true);
    for (byte[] body :
        List.of(
            description(),
            descriptionWithout("lane"),
            tooLargeDescription(),
            descriptionOfTeam("nobody"))) {
      assertEquals("503", promptAnswer(one.submit(body)));
    }
  }

  /** The other node has not read of the job, and reads before it refuses. */
  @Test
  void anAcceptedJobIsNotRefusedByANodeThatHasNotReadOfIt() {
    for (byte[] body :
        List.of(descriptionWithout("lane"), tooLargeDescription(), descriptionOfTeam("nobody"))) {
      UserApiNode late = newNode();
      late.start();
      run(0.05);
      late.transport().interceptNext(ControlledTransport.READ, Interception.HOLD_REQUEST);
      CompletableFuture<Reply> answer = late.submit(body);
      promptAnswer(one.submit(description()));
      late.transport().release(ControlledTransport.READ);
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
  void malformedBodiesAreRefusedAtOnceAlsoInAnOutage(String text) {
    byte[] body = text.getBytes(StandardCharsets.UTF_8);
    assertEquals("400", promptAnswer(one.submit(body)));
    stateStore.setDown(true);
    assertEquals("400", promptAnswer(one.submit(body)));
    run(30);
    assertEquals("400", promptAnswer(one.submit(body)));
  }

  @Test
  void whatCanNeverRunIsRefusedAtOnceAlsoInAnOutage() {
    one.setMachineTypes(null);
    assertEquals(
        "422", promptAnswer(one.submit(descriptionOfTeam("nobody"))), "needs no machine types");
    assertEquals(
        "503", promptAnswer(one.submit(tooLargeDescription())), "unless a type were that large");
    one.setMachineTypes(TYPES);
    assertEquals("422", promptAnswer(one.submit(tooLargeDescription())));
    stateStore.setDown(true);
    assertEquals("422", promptAnswer(one.submit(tooLargeDescription())));
    assertEquals("422", promptAnswer(one.submit(descriptionOfTeam("nobody"))));
  }

  @Test
  void aNodeThatIsBehindItsPeersAsksToComeBack() {
    stateStore.setDown(true);
    one.setBehindPeers(true);
    assertEquals("503", promptAnswer(one.submit(descriptionWithout("lane"))));
    assertEquals("503", promptAnswer(one.submit(tooLargeDescription())));
    assertEquals("400", promptAnswer(one.submit("no JSON".getBytes(StandardCharsets.UTF_8))));
  }

  /** Half a character can be read, but not be written into the job's record. */
  @Test
  void aTextThatCantBeKeptIsMalformed() {
    String text =
        new String(description(), StandardCharsets.UTF_8).replace("\"img\"", "\"\\ud800\"");
    assertTrue(text.contains("ud800"));
    assertEquals("400", promptAnswer(one.submit(text.getBytes(StandardCharsets.UTF_8))));
  }
}
