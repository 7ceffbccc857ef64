package io.cherryspool.controller.ownership;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.cherryspool.model.JobFixture;
import io.cherryspool.model.Outcome;
import io.cherryspool.model.Priority;
import io.cherryspool.model.Shard;
import io.cherryspool.store.JobRecord;
import io.cherryspool.store.JobRecordFixture;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests which attempts own tasks after changes of the records. */
class OwnershipTest {
  private final List<Integer> releasedTaskIndexes = new ArrayList<>();
  private final Ownership ownership = new Ownership(null);
  private final JobRecord jobRecord =
      JobRecordFixture.runningRecord(JobFixture.job("req-000001", Priority.LOW, 2, 1), 2, "host-1");

  private void startListening() {
    ownership.setListener(
        new Ownership.Listener() {
          @Override
          public void onMachineChanged(String machine) {}

          @Override
          public void onJobChanged(JobRecord touched) {}

          @Override
          public void onJobEnded(JobRecord ended) {}

          @Override
          public void onAttemptReleased(Ownership.OwnedTask owned) {
            releasedTaskIndexes.add(owned.taskId().index());
          }

          @Override
          public void onRecordsReloaded() {}
        });
    ownership.onProgress(jobRecord, Shard.EMPTY, jobRecord.shard(0).shard());
  }

  /**
   * The records of a done job are cleared much later; until then its machines must count as owning
   * none of its tasks.
   */
  @Test
  void aDoneJobOwnsNoTasksAlthoughItsRecordsStillListAttempts() {
    startListening();
    assertEquals(2, ownership.ownedTasksOn("host-1").size());
    JobRecordFixture.setOutcome(jobRecord, Outcome.DONE);
    ownership.onJobChanged(jobRecord);
    assertEquals(List.of(), ownership.ownedTasksOn("host-1"));
    assertEquals(0, jobRecord.ownedCount());
    releasedTaskIndexes.sort(null);
    assertEquals(List.of(0, 1), releasedTaskIndexes);
  }

  @Test
  void aCancelledJobOwnsItsTasksUntilTheyAreProvedToHaveEnded() {
    startListening();
    JobRecordFixture.setOutcome(jobRecord, Outcome.CANCELLED);
    ownership.onJobChanged(jobRecord);
    assertEquals(2, ownership.ownedTasksOn("host-1").size());
    assertEquals(2, jobRecord.ownedCount());
  }
}
