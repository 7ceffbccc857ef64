package io.cherryspool.controller.api;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cherryspool.http.Reply;
import io.cherryspool.model.Outcome;
import io.cherryspool.sim.fakes.ControlledTransport;
import io.cherryspool.sim.fakes.ControlledTransport.Interception;
import io.cherryspool.store.Records;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;

/** Tests the answers to users of two nodes right after requests to the other node. */
class UserApiConsistencyTest extends UserApiFixture {
  @Test
  void bothNodesAgreeRightAfterEachAnswer() {
    assertEquals("404", promptAnswer(secondNode.poll(JOB)));
    assertEquals("201 pending", promptAnswer(firstNode.submit(description())));
    assertEquals("200 pending", promptAnswer(secondNode.poll(JOB)));
    assertEquals("200 pending", promptAnswer(secondNode.submit(description())));
    assertEquals("200 withdrawn", promptAnswer(secondNode.cancel(JOB)));
    assertEquals("200 withdrawn", promptAnswer(firstNode.poll(JOB)));
    assertEquals("200 withdrawn", promptAnswer(firstNode.submit(description())));
    assertEquals("200 withdrawn", promptAnswer(firstNode.cancel(JOB)));
  }

  /**
   * The answers to the watch, which usually deliver a change before a user asks, are lost in this
   * test.
   */
  @Test
  void aNodeReadsTheChangesOfOtherNodesBeforeItAnswers() {
    secondNode.transport().interceptNext(ControlledTransport.WATCH, Interception.DROP_REPLY);
    runFor(10.5);
    secondNode.transport().interceptNext(ControlledTransport.WATCH, Interception.DROP_REPLY);
    promptAnswer(firstNode.submit(description()));
    assertEquals("200 pending", promptAnswer(secondNode.poll(JOB)));
    assertEquals("200 withdrawn", promptAnswer(firstNode.cancel(JOB)));
    assertNull(secondNode.records().job(JOB).outcome(), "the node has not read the outcome yet");
    assertEquals("200 withdrawn", promptAnswer(secondNode.submit(description())));
  }

  @Test
  void aJobThatIsDoneStaysDoneWhenCancelledOnAnyNode() {
    promptAnswer(firstNode.submit(description()));
    endJob(Outcome.DONE);
    assertEquals("200 done", promptAnswer(secondNode.cancel(JOB)));
    assertEquals("200 done", promptAnswer(secondNode.cancel(JOB)));
    assertEquals("200 done", promptAnswer(firstNode.poll(JOB)));
    assertEquals("200 done", promptAnswer(firstNode.submit(description())));
  }

  @Test
  void aJobThatWasNotSubmittedCannotBeCancelled() {
    assertEquals("404", promptAnswer(firstNode.cancel(JOB)));
    assertEquals("404", promptAnswer(firstNode.cancel(JOB)));
    assertNull(stateStore.value(Records.outcomeKey(JOB)));
    assertEquals("201 pending", promptAnswer(secondNode.submit(description())));
    assertEquals("200 pending", promptAnswer(firstNode.poll(JOB)));
  }

  @Test
  void repeatedRequestsInOneGroupCommitAreAllAnswered() {
    firstNode.transport().interceptNext(ControlledTransport.COMMIT, Interception.HOLD_REPLY);
    List<CompletableFuture<Reply>> submissions =
        List.of(
            firstNode.submit(description()),
            firstNode.submit(description()),
            secondNode.submit(description()),
            firstNode.submit(description()));
    runFor(0.05);
    firstNode.transport().release(ControlledTransport.COMMIT);
    runFor(0.1);
    assertEquals(
        1,
        submissions.stream().filter(each -> each.join().status() == 201).count(),
        "one submission created the job");
    submissions.forEach(each -> assertTrue(answer(each).endsWith(" pending")));
    List<CompletableFuture<Reply>> cancels =
        List.of(firstNode.cancel(JOB), firstNode.cancel(JOB), secondNode.cancel(JOB));
    runFor(0.1);
    cancels.forEach(each -> assertEquals("200 withdrawn", answer(each)));
  }
}
