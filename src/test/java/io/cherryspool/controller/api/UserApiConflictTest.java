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

/** What users are answered when the answer to a transaction is lost or a conflict is met. */
class UserApiConflictTest extends UserApiFixture {
  @Test
  void aSubmissionOfWhichOnlyTheAnswerIsLostIsAcceptedForAll() {
    one.transport().interceptNext(ControlledTransport.COMMIT, Interception.DROP_REPLY);
    CompletableFuture<Reply> first = one.submit(description());
    assertEquals("200 pending", promptAnswer(other.poll(JOB)));
    assertEquals("200 pending", promptAnswer(other.submit(description())));
    assertEquals("200 pending", promptAnswer(one.poll(JOB)));
    assertEquals("200 withdrawn", promptAnswer(other.cancel(JOB)));
    assertFalse(first.isDone());
    run(0.4);
    assertEquals("200 withdrawn", answer(first), "its copy meets the record and reads the end");
  }

  @Test
  void aCancelOfWhichOnlyTheAnswerIsLostIsConfirmedByAll() {
    promptAnswer(one.submit(description()));
    one.transport().interceptNext(ControlledTransport.COMMIT, Interception.DROP_REPLY);
    CompletableFuture<Reply> first = one.cancel(JOB);
    run(0.02);
    assertEquals("200 withdrawn", promptAnswer(other.poll(JOB)));
    assertFalse(first.isDone());
    run(0.4);
    assertEquals("200 withdrawn", answer(first));
  }

  @Test
  void aCancelThatMeetsTheEndOfTheJobIsAnsweredWithTheEnd() {
    promptAnswer(one.submit(description()));
    one.transport().interceptNext(ControlledTransport.COMMIT, Interception.HOLD_REQUEST);
    CompletableFuture<Reply> cancel = one.cancel(JOB);
    run(0.05);
    endJob(Outcome.DONE);
    one.transport().release(ControlledTransport.COMMIT);
    assertEquals("200 done", promptAnswer(cancel));
  }

  /** It was once answered as cancelled whatever the records said. */
  @Test
  void aCancelThatMetAConflictIsNotConfirmedWithoutAnOutcome() {
    promptAnswer(one.submit(description()));
    String failed = "{\"failed\":[\"" + Records.outcomeKey(JOB) + "\"],\"epoch\":1}";
    one.transport().replyNext(ControlledTransport.COMMIT, 409, failed);
    CompletableFuture<Reply> cancel = one.cancel(JOB);
    run(0.05);
    one.transport().release(ControlledTransport.COMMIT);
    assertEquals("503", promptAnswer(cancel));
    assertEquals("200 pending", promptAnswer(other.poll(JOB)));
    assertEquals("200 withdrawn", promptAnswer(one.cancel(JOB)));
  }

  @Test
  void aSubmissionThatMetAConflictIsNotAnsweredAsUnknown() {
    String failed = "{\"failed\":[\"" + Records.jobKey(JOB) + "\"],\"epoch\":1}";
    one.transport().replyNext(ControlledTransport.COMMIT, 409, failed);
    CompletableFuture<Reply> submission = one.submit(description());
    run(0.05);
    one.transport().release(ControlledTransport.COMMIT);
    assertEquals("503", promptAnswer(submission));
  }
}
