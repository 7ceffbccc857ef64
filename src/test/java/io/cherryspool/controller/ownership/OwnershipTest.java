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

/** Which attempts own tasks as the records change. */
class OwnershipTest {
  private final List<Integer> released = new ArrayList<>();
  private final Ownership ownership = new Ownership(null);
  private final JobRecord entry =
      JobRecordFixture.running(JobFixture.job("req-000001", Priority.LOW, 2, 1), 2, "host-1");

  private void listen() {
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
            released.add(owned.taskId().index());
          }

          @Override
          public void onRecordsReloaded() {}
        });
    ownership.onProgress(entry, Shard.EMPTY, entry.shard(0).shard());
  }

  /** Its records are cleared much later; until then its machines must count as empty. */
  @Test
  void aJobThatIsDoneOwnsNothingWhateverItsRecordsHold() {
    listen();
    assertEquals(2, ownership.ownedTasksOn("host-1").size());
    JobRecordFixture.end(entry, Outcome.DONE);
    ownership.onJobChanged(entry);
    assertEquals(List.of(), ownership.ownedTasksOn("host-1"));
    assertEquals(0, entry.ownedCount());
    released.sort(null);
    assertEquals(List.of(0, 1), released);
  }

  @Test
  void aCancelledJobOwnsItsTasksUntilTheirEndsAreProved() {
    listen();
    JobRecordFixture.end(entry, Outcome.CANCELLED);
    ownership.onJobChanged(entry);
    assertEquals(2, ownership.ownedTasksOn("host-1").size());
    assertEquals(2, entry.ownedCount());
  }
}
