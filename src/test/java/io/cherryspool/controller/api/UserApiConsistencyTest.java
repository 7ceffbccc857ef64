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

/** What the users of two nodes are answered right after one another's requests. */
class UserApiConsistencyTest extends UserApiFixture {
  @Test
  void bothNodesAgreeRightAfterEachAnswer() {
    assertEquals("404", promptAnswer(other.poll(JOB)));
    assertEquals("201 pending", promptAnswer(one.submit(description())));
    assertEquals("200 pending", promptAnswer(other.poll(JOB)));
    assertEquals("200 pending", promptAnswer(other.submit(description())));
    assertEquals("200 withdrawn", promptAnswer(other.cancel(JOB)));
    assertEquals("200 withdrawn", promptAnswer(one.poll(JOB)));
    assertEquals("200 withdrawn", promptAnswer(one.submit(description())));
    assertEquals("200 withdrawn", promptAnswer(one.cancel(JOB)));
  }

  /** The watch, which usually delivers the change before anybody asks, is of no help here. */
  @Test
  void aNodeThatHasNotReadOfAnAnswerReadsBeforeItsOwn() {
    other.transport().interceptNext(ControlledTransport.WATCH, Interception.DROP_REPLY);
    run(10.5);
    other.transport().interceptNext(ControlledTransport.WATCH, Interception.DROP_REPLY);
    promptAnswer(one.submit(description()));
    assertEquals("200 pending", promptAnswer(other.poll(JOB)));
    assertEquals("200 withdrawn", promptAnswer(one.cancel(JOB)));
    assertNull(other.records().job(JOB).outcome(), "not read of yet");
    assertEquals("200 withdrawn", promptAnswer(other.submit(description())));
  }

  @Test
  void aJobThatIsDoneStaysDoneWhoeverCancelsIt() {
    promptAnswer(one.submit(description()));
    endJob(Outcome.DONE);
    assertEquals("200 done", promptAnswer(other.cancel(JOB)));
    assertEquals("200 done", promptAnswer(other.cancel(JOB)));
    assertEquals("200 done", promptAnswer(one.poll(JOB)));
    assertEquals("200 done", promptAnswer(one.submit(description())));
  }

  @Test
  void nobodyCancelsWhatNobodySubmitted() {
    assertEquals("404", promptAnswer(one.cancel(JOB)));
    assertEquals("404", promptAnswer(one.cancel(JOB)));
    assertNull(stateStore.value(Records.outcomeKey(JOB)));
    assertEquals("201 pending", promptAnswer(other.submit(description())));
    assertEquals("200 pending", promptAnswer(one.poll(JOB)));
  }

  @Test
  void requestsRepeatedWithinOneGroupAreAllAnswered() {
    one.transport().interceptNext(ControlledTransport.COMMIT, Interception.HOLD_REPLY);
    List<CompletableFuture<Reply>> submissions =
        List.of(
            one.submit(description()),
            one.submit(description()),
            other.submit(description()),
            one.submit(description()));
    run(0.05);
    one.transport().release(ControlledTransport.COMMIT);
    run(0.1);
    assertEquals(
        1, submissions.stream().filter(each -> each.join().status() == 201).count(), "one made it");
    submissions.forEach(each -> assertTrue(answer(each).endsWith(" pending")));
    List<CompletableFuture<Reply>> cancels =
        List.of(one.cancel(JOB), one.cancel(JOB), other.cancel(JOB));
    run(0.1);
    cancels.forEach(each -> assertEquals("200 withdrawn", answer(each)));
  }
}
