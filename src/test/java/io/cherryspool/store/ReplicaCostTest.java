package io.cherryspool.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.cherryspool.http.Endpoint;
import io.cherryspool.http.Reply;
import io.cherryspool.http.Request;
import io.cherryspool.model.JobFixture;
import io.cherryspool.model.Outcome;
import io.cherryspool.model.Priority;
import io.cherryspool.model.Shard;
import io.cherryspool.sim.driver.HeapMeter;
import io.cherryspool.sim.fakes.ControlledTransport;
import io.cherryspool.sim.time.VirtualTime;
import io.cherryspool.wire.Json;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;

/**
 * Limits the memory that a follower allocates for changes of other nodes and retains for ended
 * jobs.
 */
class ReplicaCostTest {
  private static final String JOB = "req-000001";
  private static final int TASKS = 100;
  private static final int OWNED = 20;
  private static final Duration CALL_TIMEOUT = Duration.ofSeconds(1);
  private static final int WARM_UP = 3000;
  private static final int EVENTS = 1000;
  private static final long MAX_ALLOCATED_BYTES_PER_EVENT = 15_000;
  private static final int JOBS = 20_000;
  private static final long MAX_RETAINED_BYTES_PER_JOB = 900;

  private final VirtualTime time = new VirtualTime();
  private final RateLimiter rateLimiter = new RateLimiter(time, 1, 1000, 1000);
  private final StateStoreClient client =
      new StateStoreClient(
          time,
          rateLimiter,
          (to, request, deadline) -> send(request),
          new Endpoint("127.0.0.1", 1),
          CALL_TIMEOUT);
  private final Replica replica =
      new Replica(time, client, rateLimiter, Duration.ofMillis(5), CALL_TIMEOUT.dividedBy(2));
  private CompletableFuture<Reply> watch;
  private long revision;

  private CompletableFuture<Reply> send(Request request) {
    if (request.target().contains(ControlledTransport.WATCH)) {
      watch = new CompletableFuture<>();
      return watch;
    }
    ObjectNode empty = Json.object().put("has_next", false).put("epoch", revision);
    empty.putArray("entries");
    empty.putArray("events");
    return CompletableFuture.completedFuture(Reply.json(200, Json.toBytes(empty)));
  }

  /** Creates an answer to the watch with one change. */
  private Reply watchReply(String key, JsonNode value) {
    ObjectNode answer = Json.object().put("epoch", ++revision);
    ArrayNode events = answer.putArray("events");
    events.addObject().put("put", key).put("stamp", revision).set("v", value);
    return Reply.json(200, Json.toBytes(answer));
  }

  /** Answers the outstanding watch and waits until the replica has opened it again. */
  private void answerWatch(Reply reply) {
    watch.complete(reply);
    reopen();
  }

  private void reopen() {
    while (watch.isDone()) {
      time.runNextEvent(time.now().plusSeconds(1));
    }
  }

  private Reply acceptedJobReply(String id) {
    return watchReply(
        Records.jobKey(id),
        Records.encodeJob(JobFixture.job(id, Priority.NORMAL, TASKS, 1), TASKS));
  }

  /** Creates a change after which the first tasks are done and the next ones are owned. */
  private Reply progressReply(int done) {
    Shard.Editor editor = Shard.EMPTY.edit().markDone(0, done);
    for (int task = done + 1; task <= done + OWNED; task++) {
      editor.assign(task, "host-" + task, 1, 7);
    }
    return watchReply(Records.progressKey(JOB, 0), Records.encodeShard(editor.build()));
  }

  private List<Reply> progressReplies(int count) {
    List<Reply> result = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      result.add(progressReply(i % (TASKS / 2)));
    }
    return result;
  }

  @Test
  void aChangeOfProgressAllocatesLittle() {
    replica.start();
    answerWatch(acceptedJobReply(JOB));
    progressReplies(WARM_UP).forEach(this::answerWatch);
    long bytes = 0;
    for (Reply reply : progressReplies(EVENTS)) {
      bytes += HeapMeter.allocatedBytes(() -> watch.complete(reply));
      reopen();
    }
    assertEquals(OWNED, replica.job(JOB).ownedCount(), "the changes are applied");
    long bytesPerEvent = bytes / EVENTS;
    assertTrue(bytesPerEvent <= MAX_ALLOCATED_BYTES_PER_EVENT, bytesPerEvent + " bytes per event");
  }

  @Test
  void anEndedJobRetainsLittleMemory() {
    replica.start();
    long bytesPerJob = HeapMeter.retainedBytes(this::replicaWithEndedJobs) / JOBS;
    assertEquals(JOBS, replica.jobCount());
    assertEquals(0, replica.activeJobs().size());
    assertTrue(bytesPerJob <= MAX_RETAINED_BYTES_PER_JOB, bytesPerJob + " bytes per job");
  }

  private Object replicaWithEndedJobs() {
    for (int i = 0; i < JOBS; i++) {
      String id = String.format("req-%06d", i);
      answerWatch(acceptedJobReply(id));
      answerWatch(watchReply(Records.outcomeKey(id), Records.encodeOutcome(Outcome.DONE)));
    }
    return replica;
  }
}
