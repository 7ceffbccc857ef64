package io.cherryspool.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cherryspool.model.Shard;
import io.cherryspool.wire.Json;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class RecordsTest {
  @Test
  void randomProgressIsUnchangedAfterEncodingAndDecoding() throws Exception {
    SplittableRandom random = new SplittableRandom(7);
    for (int run = 0; run < 200; run++) {
      Shard shard = Shard.EMPTY;
      for (int step = 0; step < 60; step++) {
        int task = random.nextInt(40);
        Shard.Editor editor = shard.edit();
        if (shard.ownedAttempt(task) != null) {
          shard =
              random.nextBoolean()
                  ? editor.complete(task).build()
                  : editor.release(task, random.nextBoolean()).build();
        } else if (!shard.isDone(task)) {
          shard = editor.assign(task, "host-" + task, 1 + task, step).build();
        }
      }
      Shard read = Records.decodeShard(Json.parseObject(Json.toBytes(Records.encodeShard(shard))));
      for (int task = 0; task < 40; task++) {
        assertEquals(shard.isDone(task), read.isDone(task));
        assertEquals(shard.ownedAttempt(task), read.ownedAttempt(task));
        assertEquals(shard.history(task), read.history(task));
      }
    }
  }

  /**
   * A record larger than the state store's limit could never be committed, so its job could never
   * end.
   */
  @Test
  void aFullShardStaysWithinTheLimitOnValues() {
    int limit = 8 * 1024;
    int tasks = Records.tasksPerShard(limit);
    Shard.Editor editor = Shard.EMPTY.edit();
    for (int task = 99_000; task < 99_000 + tasks; task++) {
      editor.putHistory(task, new Shard.History(120, 15));
      editor.assign(task, "host-" + (100_000 + task), 12, (1L << 50) + task);
    }
    assertTrue(Json.toBytes(Records.encodeShard(editor.build())).length <= limit);
  }
}
