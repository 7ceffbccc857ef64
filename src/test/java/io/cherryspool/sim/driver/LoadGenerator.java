package io.cherryspool.sim.driver;

import com.fasterxml.jackson.databind.JsonNode;
import io.cherryspool.http.Reply;
import io.cherryspool.http.Request;
import io.cherryspool.model.Job;
import io.cherryspool.model.Priority;
import io.cherryspool.model.Resources;
import io.cherryspool.model.Shard;
import io.cherryspool.sim.loopback.EventLoopCalls;
import io.cherryspool.sim.loopback.LoopbackCluster;
import io.cherryspool.store.Records;
import io.cherryspool.wire.Json;
import io.cherryspool.wire.StateStoreProtocol;
import io.cherryspool.wire.UserProtocol;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.IntFunction;

/** Sends users' requests and changes of records at constant rates, for measurements. */
final class LoadGenerator {
  private final LoopbackCluster cluster;
  private final CostMeter meter;
  private final String node;
  private final Duration settleTime;

  /**
   * Creates the load generator.
   *
   * @param node the node that users' requests are sent to
   * @param settleTime how long to wait at the end of each load, so that the measurement includes
   *     its effects
   */
  LoadGenerator(LoopbackCluster cluster, CostMeter meter, String node, Duration settleTime) {
    this.cluster = cluster;
    this.meter = meter;
    this.node = node;
    this.settleTime = settleTime;
  }

  static String jobId(int number) {
    return String.format("req-%06d", number);
  }

  /**
   * Returns a job that runs longer than the measurement.
   *
   * @param types the machine types that the job may run on; null for any
   */
  static Job job(String id, int tasks, List<String> types) {
    return new Job(
        id,
        "lane",
        "red",
        Priority.NORMAL,
        tasks,
        new Resources(1, 0, 1),
        "image",
        1,
        types,
        null,
        false,
        false,
        true,
        Duration.ofHours(1),
        Duration.ZERO,
        Duration.ZERO,
        null,
        Instant.EPOCH);
  }

  /** Submits a job with the given number of tasks. Must be called on the loop. */
  CompletableFuture<Reply> submit(int number, int tasks) {
    Job job = job(jobId(number), tasks, null);
    cluster.fleet().addJobDescription(job);
    return cluster.send(node, Request.post("/api/jobs", Json.toBytes(UserProtocol.encodeJob(job))));
  }

  /** Cancels a job. Must be called on the loop. */
  CompletableFuture<Reply> cancel(int number) {
    Request request = Request.post("/api/jobs/" + jobId(number) + "/withdraw", new byte[0]);
    return cluster.send(node, request);
  }

  /** Queries a job. Must be called on the loop. */
  CompletableFuture<Reply> poll(int number) {
    return cluster.send(node, Request.get("/api/jobs/" + jobId(number)));
  }

  /** Writes the first progress record of a job, in which tasks 0 to {@code done} are done. */
  CompletableFuture<Reply> writeProgress(int number, int done) {
    Shard shard = Shard.EMPTY.edit().markDone(0, done).build();
    return cluster.commit(
        new StateStoreProtocol.Change(
            Records.progressKey(jobId(number), 0), Records.encodeShard(shard), 0));
  }

  /** Writes a record and waits for the reply. */
  void writeRecord(String key, JsonNode value) {
    EventLoopCalls.await(cluster.commit(new StateStoreProtocol.Change(key, value, 0)));
  }

  /**
   * Runs an action on the loop at a constant rate and waits for the replies.
   *
   * @param action called with consecutive numbers from 0; returns null if there is no reply to wait
   *     for
   */
  void runAtRate(int count, double perSecond, IntFunction<CompletableFuture<Reply>> action)
      throws InterruptedException {
    List<CompletableFuture<Reply>> answers = new ArrayList<>();
    CompletableFuture<Boolean> areAllSent = new CompletableFuture<>();
    for (int i = 0; i < count; i++) {
      int number = i;
      Duration delay = Duration.ofNanos((long) (1e9 * i / perSecond));
      Runnable event =
          () -> {
            CompletableFuture<Reply> answer = action.apply(number);
            if (answer != null) {
              answers.add(answer);
            }
            if (number == count - 1) {
              areAllSent.complete(true);
            }
          };
      cluster.loop().schedule(delay, event);
    }
    meter.pause(Duration.ofNanos((long) (1e9 * count / perSecond)));
    EventLoopCalls.await(areAllSent);
    long failed =
        answers.stream().filter(answer -> EventLoopCalls.await(answer).status() >= 500).count();
    if (failed > 0) {
      System.out.println(failed + " of " + count + " requests failed");
    }
    meter.pause(settleTime);
  }
}
