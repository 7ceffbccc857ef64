package io.cherryspool.controller.ownership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import io.cherryspool.model.Attempt;
import io.cherryspool.model.JobFixture;
import io.cherryspool.model.Outcome;
import io.cherryspool.model.Priority;
import io.cherryspool.model.TaskId;
import io.cherryspool.store.JobRecord;
import io.cherryspool.store.JobRecordFixture;
import java.time.Duration;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Tests which attempts must stop, and with which grace period. */
class StopRequestsTest {
  private static final TaskId TASK = new TaskId("req-000001", 0);
  private static final Duration SHORT = Duration.ofSeconds(5);
  private static final Duration LONG = Duration.ofSeconds(60);

  private final JobRecord jobRecord =
      JobRecordFixture.acceptedRecord(JobFixture.job("req-000001", Priority.NORMAL, 1, 1));
  private final StopRequests requests = new StopRequests();

  private Ownership.OwnedTask attempt(int number) {
    return new Ownership.OwnedTask(jobRecord, TASK, new Attempt(0, "host-1", 3, number, 1));
  }

  @Test
  void theFirstRequestForAnAttemptCounts() {
    requests.add(TASK, 2, SHORT);
    requests.add(TASK, 2, LONG);
    requests.add(TASK, 1, LONG);
    assertEquals(Optional.of(SHORT), requests.gracePeriodFor(attempt(2)));
    assertFalse(requests.isRequested(attempt(1)));
    assertFalse(requests.isRequested(attempt(3)), "no stop of a later attempt is requested");
  }

  @Test
  void aRequestForALaterAttemptReplacesTheEarlierOne() {
    requests.add(TASK, 1, SHORT);
    requests.add(TASK, 2, LONG);
    assertEquals(Optional.of(LONG), requests.gracePeriodFor(attempt(2)));
  }

  @Test
  void releasingAnAttemptRemovesItsRequestButNotThatOfALaterAttempt() {
    requests.add(TASK, 2, SHORT);
    requests.remove(attempt(1));
    assertEquals(Optional.of(SHORT), requests.gracePeriodFor(attempt(2)));
    requests.remove(attempt(2));
    assertFalse(requests.isRequested(attempt(2)));
  }

  @Test
  void allAttemptsOfACancelledJobStopAtOnce() {
    requests.add(TASK, 1, LONG);
    JobRecordFixture.setOutcome(jobRecord, Outcome.CANCELLED);
    assertEquals(Optional.of(Duration.ZERO), requests.gracePeriodFor(attempt(1)));
  }
}
