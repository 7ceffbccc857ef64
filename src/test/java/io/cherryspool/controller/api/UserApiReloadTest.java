package io.cherryspool.controller.api;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;

import io.cherryspool.http.Reply;
import io.cherryspool.model.Outcome;
import io.cherryspool.sim.fakes.ControlledTransport;
import io.cherryspool.sim.fakes.ControlledTransport.Interception;
import io.cherryspool.store.Records;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;

/** Tests the answers to users while a node reads all records again, or can't read them. */
class UserApiReloadTest extends UserApiFixture {
  @Test
  void duringAReloadOnlyFinalStatesAreAnswered() {
    promptAnswer(firstNode.submit(description()));
    firstNode.reload();
    assertEquals("503", answer(firstNode.poll(JOB)));
    assertEquals("503", answer(firstNode.submit(description())));
    assertEquals("503", answer(firstNode.cancel(JOB)));
    assertEquals("503", answer(firstNode.submit(descriptionWithout("lane"))));
    assertEquals("503", answer(firstNode.submit(tooLargeDescription())));
    firstNode.transport().release("/keys");
    runFor(0.05);
    promptAnswer(secondNode.cancel(JOB));
    runFor(0.2);
    firstNode.reload();
    assertEquals("200 withdrawn", answer(firstNode.poll(JOB)));
    assertEquals("200 withdrawn", answer(firstNode.submit(description())));
    assertEquals("200 withdrawn", answer(firstNode.cancel(JOB)));
    firstNode.transport().release("/keys");
    assertEquals("200 withdrawn", promptAnswer(firstNode.poll(JOB)));
  }

  /**
   * A commit that is pending when a reload begins is completed during the reload. The records that
   * the node reads afterwards may be those before or after the reload.
   */
  @Test
  void pendingRequestsAreNotAnsweredWithOlderStatesAfterAReloadBegins() {
    firstNode.transport().interceptNext(ControlledTransport.COMMIT, Interception.HOLD_REPLY);
    CompletableFuture<Reply> submission = firstNode.submit(description());
    runFor(0.05);
    firstNode.reload();
    firstNode.transport().release(ControlledTransport.COMMIT);
    assertEquals("201 pending", answer(submission));
    assertEquals("503", answer(firstNode.poll(JOB)));
    firstNode.transport().release("/keys");
    runFor(0.05);
    assertEquals("200 pending", promptAnswer(firstNode.poll(JOB)));
    firstNode.transport().interceptNext(ControlledTransport.COMMIT, Interception.HOLD_REQUEST);
    CompletableFuture<Reply> cancel = firstNode.cancel(JOB);
    runFor(0.05);
    firstNode.reload();
    endJob(Outcome.DONE);
    firstNode.transport().release(ControlledTransport.COMMIT);
    assertEquals(
        "503",
        promptAnswer(cancel),
        "the commit met a conflict, and the records can't be read now");
    firstNode.transport().release("/keys");
    runFor(0.05);
    assertEquals("200 done", promptAnswer(firstNode.cancel(JOB)));
  }

  /**
   * The state store has compacted the changes after the revision of the node's replica, so that the
   * replica may lack the job.
   */
  @Test
  void aNodeWhoseReplicaIsOutdatedAsksToRetry() {
    firstNode.transport().interceptNext("/keys", Interception.HOLD_REQUEST);
    firstNode.transport().replaceNextReply(ControlledTransport.READ, 410, "{}");
    CompletableFuture<Reply> answer = firstNode.submit(descriptionWithout("lane"));
    runFor(0.01);
    firstNode.transport().release(ControlledTransport.READ);
    assertEquals("503", promptAnswer(answer));
  }

  @Test
  void duringAnOutageEveryRefusalIsImmediate() {
    promptAnswer(firstNode.submit(description()));
    stateStore.setDown(true);
    assertEquals("503", promptAnswer(firstNode.poll(JOB)));
    assertEquals("503", promptAnswer(firstNode.cancel(JOB)));
    assertEquals("503", promptAnswer(firstNode.submit(description())));
    assertEquals("503", promptAnswer(firstNode.poll("req-000002")));
    assertEquals("503", promptAnswer(firstNode.cancel("req-000002")));
    String fresh = new String(description(), StandardCharsets.UTF_8).replace(JOB, "req-000002");
    assertEquals("503", promptAnswer(firstNode.submit(fresh.getBytes(StandardCharsets.UTF_8))));
    stateStore.setDown(false);
    assertEquals("200 pending", promptAnswer(firstNode.poll(JOB)));
    assertEquals("404", promptAnswer(firstNode.poll("req-000002")));
    assertNotNull(stateStore.value(Records.jobKey(JOB)));
  }
}
