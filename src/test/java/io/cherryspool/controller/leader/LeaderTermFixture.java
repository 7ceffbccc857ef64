package io.cherryspool.controller.leader;

import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cherryspool.cloud.CloudClient;
import io.cherryspool.controller.fleet.FleetPermissions;
import io.cherryspool.controller.metrics.Meters;
import io.cherryspool.controller.ownership.FencingTokenSource;
import io.cherryspool.controller.provisioning.ProvisioningLimits;
import io.cherryspool.controller.rounds.RoundCommitter;
import io.cherryspool.controller.rounds.RoundLimits;
import io.cherryspool.controller.timing.Timings;
import io.cherryspool.http.Endpoint;
import io.cherryspool.http.Reply;
import io.cherryspool.http.Transport;
import io.cherryspool.lifecycle.EventLoop;
import io.cherryspool.model.Job;
import io.cherryspool.model.MachineType;
import io.cherryspool.model.Resources;
import io.cherryspool.model.Team;
import io.cherryspool.reachability.ReachabilityFixture;
import io.cherryspool.sim.fakes.ControlledTransport;
import io.cherryspool.sim.fakes.FakeStateStore;
import io.cherryspool.sim.time.VirtualTime;
import io.cherryspool.store.RateLimiter;
import io.cherryspool.store.Records;
import io.cherryspool.store.Replica;
import io.cherryspool.store.StateStoreClient;
import io.cherryspool.wire.Json;
import io.cherryspool.wire.MalformedMessageException;
import io.cherryspool.wire.StateStoreProtocol;
import io.cherryspool.wire.WorkerProtocol;
import io.cherryspool.worker.WorkerClient;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;

/**
 * Runs a leader's term in simulated time. The test creates the heartbeats of its workers. Neither
 * the cloud nor the workers answer the leader's calls.
 */
final class LeaderTermFixture {
  static final Duration HEARTBEAT_INTERVAL = Duration.ofMillis(2500);
  static final Duration MAX_ROUND_INTERVAL = Duration.ofSeconds(1);

  private static final Endpoint UNUSED_ENDPOINT = new Endpoint("127.0.0.1", 1);
  private static final Duration CALL_TIMEOUT = Duration.ofSeconds(1);
  private static final int MAX_TRANSACTION_CHANGES = 8;
  private static final long TERM = 5;
  private static final List<MachineType> TYPES =
      List.of(
          new MachineType(
              "box", new Resources(16, 0, 64), 50, 0.5, 1, 0.4, Duration.ZERO, List.of("a")));

  private final VirtualTime time = new VirtualTime();
  private final FakeStateStore stateStore = new FakeStateStore(time, new SplittableRandom(1), 0);
  private final FencingTokenSource tokens = new FencingTokenSource(TERM);
  private final LeaderTerm term;
  private int scheduledTasks;
  private int clockReadings;
  private long sequence;

  LeaderTermFixture() {
    EventLoop loop = countingLoop();
    RateLimiter rateLimiter = new RateLimiter(loop, 1, 1000, 1000);
    StateStoreClient client =
        new StateStoreClient(
            loop,
            rateLimiter,
            new ControlledTransport(time, stateStore),
            UNUSED_ENDPOINT,
            CALL_TIMEOUT);
    Replica replica =
        new Replica(loop, client, rateLimiter, Duration.ofMillis(5), CALL_TIMEOUT.dividedBy(2));
    replica.start();
    advance(Duration.ofMillis(50));
    assertTrue(replica.isLoaded());
    RoundCommitter committer =
        new RoundCommitter(loop, client, rateLimiter, MAX_TRANSACTION_CHANGES, 0);
    term =
        new LeaderTerm(
            services(loop, replica),
            settings(),
            authority(),
            new LeaderTerm.ContradictionListeners(higher -> {}, Optional.empty()),
            committer,
            TERM);
    replica.onChange(term::requestRound);
    term.start();
  }

  private LeaderTerm.Services services(EventLoop loop, Replica replica) {
    Transport unanswered = (to, request, deadline) -> new CompletableFuture<Reply>();
    return new LeaderTerm.Services(
        loop,
        this::clock,
        replica,
        new WorkerClient(unanswered, CALL_TIMEOUT),
        new CloudClient(unanswered, UNUSED_ENDPOINT, CALL_TIMEOUT),
        () -> TYPES,
        new Meters());
  }

  private static LeaderTerm.TermSettings settings() {
    return new LeaderTerm.TermSettings(
        timings(),
        new RoundLimits(
            MAX_ROUND_INTERVAL,
            HEARTBEAT_INTERVAL.multipliedBy(2),
            Duration.ofSeconds(8),
            Duration.ofSeconds(150),
            20,
            MAX_TRANSACTION_CHANGES,
            Map.of()),
        new ProvisioningLimits(6, Duration.ofSeconds(6), Duration.ofSeconds(40)),
        Map.of("red", new Team("red", 0, 0, 0, 0)),
        Set.of());
  }

  private static LeaderTerm.Authority authority() {
    return new LeaderTerm.Authority(
        () -> true,
        () -> false,
        new FleetPermissions(
            () -> true,
            () -> true,
            zone -> false,
            ReachabilityFixture.reachability("node-0", List.of()).machineEvictionRule()));
  }

  private static Timings timings() {
    return new Timings(
        HEARTBEAT_INTERVAL,
        Duration.ofSeconds(12),
        Duration.ofSeconds(16),
        Duration.ofSeconds(4),
        CALL_TIMEOUT,
        CALL_TIMEOUT,
        Duration.ofSeconds(5));
  }

  private EventLoop countingLoop() {
    return new EventLoop() {
      @Override
      public Duration now() {
        return time.now();
      }

      @Override
      public Timer schedule(Duration delay, Runnable task) {
        scheduledTasks++;
        return time.schedule(delay, task);
      }
    };
  }

  private Instant clock() {
    clockReadings++;
    return Instant.EPOCH.plus(time.now());
  }

  /** Returns how many tasks the leader has scheduled on its event loop. */
  int scheduledTasks() {
    return scheduledTasks;
  }

  /**
   * Returns how often the wall clock was read, which is once per planned round while no job is
   * submitted or ends.
   */
  int clockReadings() {
    return clockReadings;
  }

  VirtualTime time() {
    return time;
  }

  void advance(Duration length) {
    Duration end = time.now().plus(length);
    while (time.runNextEvent(end)) {
      // Each event may schedule more.
    }
  }

  /** Writes a job to the state store, as the node that accepts it does. */
  void recordJob(Job job) {
    StateStoreProtocol.Change change =
        new StateStoreProtocol.Change(Records.jobKey(job.id()), Records.encodeJob(job, 100), 0);
    stateStore.handle(StateStoreProtocol.transactionRequest(Map.of(), List.of(change)));
  }

  /**
   * Returns the next heartbeat of a machine that runs this number of tasks, as the machine's worker
   * encodes it.
   */
  byte[] nextHeartbeat(String machine, int tasks) {
    StringBuilder taskList = new StringBuilder();
    for (int task = 0; task < tasks; task++) {
      taskList
          .append(task == 0 ? "" : ",")
          .append("{\"piece\":\"req-000001/")
          .append(task)
          .append("\",\"try\":1,\"status\":\"running\"}");
    }
    String text =
        String.format(
            "{\"spindle\":\"%s\",\"endpoint\":\"127.0.0.1:1\",\"build\":\"box\",\"yard\":\"a\","
                + "\"loaners\":false,\"shift\":1,\"tick\":%d,\"baton\":%d,\"warning_s\":null,"
                + "\"pieces\":[%s]}",
            machine, ++sequence, tokens.current(), taskList);
    return text.getBytes(StandardCharsets.UTF_8);
  }

  /** Passes an encoded heartbeat to the leader; returns the encoded reply. */
  byte[] answerHeartbeat(byte[] heartbeat) {
    try {
      return term.answerHeartbeat(WorkerProtocol.parseHeartbeat(Json.parseObject(heartbeat)));
    } catch (MalformedMessageException e) {
      throw new AssertionError(e);
    }
  }
}
