package io.cherryspool.controller.api;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import io.cherryspool.http.Reply;
import io.cherryspool.model.Outcome;
import io.cherryspool.sim.fakes.ControlledTransport;
import io.cherryspool.sim.fakes.ControlledTransport.Interception;
import io.cherryspool.store.Records;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;

/**
 * Tests the answers to users when the answer to a transaction is lost or the transaction meets a
 * conflict.
 */
class UserApiConflictTest extends UserApiFixture {
  @Test
  void aSubmissionWhoseCommitAnswerIsLostIsAcceptedOnAllNodes() {
    firstNode.transport().interceptNext(ControlledTransport.COMMIT, Interception.DROP_REPLY);
    CompletableFuture<Reply> first = firstNode.submit(description());
    assertEquals("200 pending", promptAnswer(secondNode.poll(JOB)));
    assertEquals("200 pending", promptAnswer(secondNode.submit(description())));
    assertEquals("200 pending", promptAnswer(firstNode.poll(JOB)));
    assertEquals("200 withdrawn", promptAnswer(secondNode.cancel(JOB)));
    assertFalse(first.isDone());
    runFor(0.4);
    assertEquals(
        "200 withdrawn",
        answer(first),
        "the repeated transaction meets the record, and the node reads the final state");
  }

  @Test
  void aCancelWhoseCommitAnswerIsLostIsConfirmedByAllNodes() {
    promptAnswer(firstNode.submit(description()));
    firstNode.transport().interceptNext(ControlledTransport.COMMIT, Interception.DROP_REPLY);
    CompletableFuture<Reply> first = firstNode.cancel(JOB);
    runFor(0.02);
    assertEquals("200 withdrawn", promptAnswer(secondNode.poll(JOB)));
    assertFalse(first.isDone());
    runFor(0.4);
    assertEquals("200 withdrawn", answer(first));
  }

  @Test
  void aCancelThatConflictsWithTheEndOfTheJobIsAnsweredWithThatEnd() {
    promptAnswer(firstNode.submit(description()));
    firstNode.transport().interceptNext(ControlledTransport.COMMIT, Interception.HOLD_REQUEST);
    CompletableFuture<Reply> cancel = firstNode.cancel(JOB);
    runFor(0.05);
    endJob(Outcome.DONE);
    firstNode.transport().release(ControlledTransport.COMMIT);
    assertEquals("200 done", promptAnswer(cancel));
  }

  /**
   * The node once answered a cancellation that met a conflict with "cancelled", regardless of the
   * records.
   */
  @Test
  void aCancelThatMeetsAConflictIsNotConfirmedWithoutARecordedOutcome() {
    promptAnswer(firstNode.submit(description()));
    String failed = "{\"failed\":[\"" + Records.outcomeKey(JOB) + "\"],\"epoch\":1}";
    firstNode.transport().replaceNextReply(ControlledTransport.COMMIT, 409, failed);
    CompletableFuture<Reply> cancel = firstNode.cancel(JOB);
    runFor(0.05);
    firstNode.transport().release(ControlledTransport.COMMIT);
    assertEquals("503", promptAnswer(cancel));
    assertEquals("200 pending", promptAnswer(secondNode.poll(JOB)));
    assertEquals("200 withdrawn", promptAnswer(firstNode.cancel(JOB)));
  }

  @Test
  void aSubmissionThatMeetsAConflictIsNotAnsweredAsUnknown() {
    String failed = "{\"failed\":[\"" + Records.jobKey(JOB) + "\"],\"epoch\":1}";
    firstNode.transport().replaceNextReply(ControlledTransport.COMMIT, 409, failed);
    CompletableFuture<Reply> submission = firstNode.submit(description());
    runFor(0.05);
    firstNode.transport().release(ControlledTransport.COMMIT);
    assertEquals("503", promptAnswer(submission));
  }
}
