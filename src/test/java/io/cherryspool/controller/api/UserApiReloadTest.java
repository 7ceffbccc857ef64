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

/** What users are answered while a node reads all records again, or can't read them. */
class UserApiReloadTest extends UserApiFixture {
  @Test
  void whileAllKeysAreReadAgainOnlyEndsAreAnswered() {
    promptAnswer(one.submit(description()));
    one.reload();
    assertEquals("503", answer(one.poll(JOB)));
    assertEquals("503", answer(one.submit(description())));
    assertEquals("503", answer(one.cancel(JOB)));
    assertEquals("503", answer(one.submit(descriptionWithout("lane"))));
    assertEquals("503", answer(one.submit(tooLargeDescription())));
    one.transport().release("/keys");
    run(0.05);
    promptAnswer(other.cancel(JOB));
    run(0.2);
    one.reload();
    assertEquals("200 withdrawn", answer(one.poll(JOB)));
    assertEquals("200 withdrawn", answer(one.submit(description())));
    assertEquals("200 withdrawn", answer(one.cancel(JOB)));
    one.transport().release("/keys");
    assertEquals("200 withdrawn", promptAnswer(one.poll(JOB)));
  }

  /** Its commit goes on, and the copy that it then reads is the one before or the one after. */
  @Test
  void aSubmissionAndACancelUnderWayWhenAReloadBeginsAreNotAnsweredOlder() {
    one.transport().interceptNext(ControlledTransport.COMMIT, Interception.HOLD_REPLY);
    CompletableFuture<Reply> submission = one.submit(description());
    run(0.05);
    one.reload();
    one.transport().release(ControlledTransport.COMMIT);
    assertEquals("201 pending", answer(submission));
    assertEquals("503", answer(one.poll(JOB)));
    one.transport().release("/keys");
    run(0.05);
    assertEquals("200 pending", promptAnswer(one.poll(JOB)));
    one.transport().interceptNext(ControlledTransport.COMMIT, Interception.HOLD_REQUEST);
    CompletableFuture<Reply> cancel = one.cancel(JOB);
    run(0.05);
    one.reload();
    endJob(Outcome.DONE);
    one.transport().release(ControlledTransport.COMMIT);
    assertEquals("503", promptAnswer(cancel), "a conflict, and nothing can be read now");
    one.transport().release("/keys");
    run(0.05);
    assertEquals("200 done", promptAnswer(one.cancel(JOB)));
  }

  /** The copy lacks all that happened since the history that is gone. */
  @Test
  void aNodeWhoseCopyTurnsOutToBeOldAsksToComeBack() {
    one.transport().interceptNext("/keys", Interception.HOLD_REQUEST);
    one.transport().replyNext(ControlledTransport.READ, 410, "{}");
    CompletableFuture<Reply> answer = one.submit(descriptionWithout("lane"));
    run(0.01);
    one.transport().release(ControlledTransport.READ);
    assertEquals("503", promptAnswer(answer));
  }

  @Test
  void duringAnOutageEveryRefusalIsImmediate() {
    promptAnswer(one.submit(description()));
    stateStore.setDown(true);
    assertEquals("503", promptAnswer(one.poll(JOB)));
    assertEquals("503", promptAnswer(one.cancel(JOB)));
    assertEquals("503", promptAnswer(one.submit(description())));
    assertEquals("503", promptAnswer(one.poll("req-000002")));
    assertEquals("503", promptAnswer(one.cancel("req-000002")));
    String fresh = new String(description(), StandardCharsets.UTF_8).replace(JOB, "req-000002");
    assertEquals("503", promptAnswer(one.submit(fresh.getBytes(StandardCharsets.UTF_8))));
    stateStore.setDown(false);
    assertEquals("200 pending", promptAnswer(one.poll(JOB)));
    assertEquals("404", promptAnswer(one.poll("req-000002")));
    assertNotNull(stateStore.value(Records.jobKey(JOB)));
  }
}
