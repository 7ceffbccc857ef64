package io.cherryspool.controller.leader;

import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cherryspool.cloud.CloudClient;
import io.cherryspool.controller.metrics.Meters;
import io.cherryspool.controller.ownership.FencingTokenSource;
import io.cherryspool.controller.rounds.RoundCommitter;
import io.cherryspool.controller.rounds.SchedulingLoop;
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
 * A leader in simulated time whose workers are reports that the test makes. Neither the cloud nor a
 * worker answers its calls.
 */
final class LeaderTermFixture {
  static final Duration REPORT = Duration.ofMillis(2500);
  static final Duration ROUND_MAX = Duration.ofSeconds(1);

  private static final Endpoint ANYWHERE = new Endpoint("127.0.0.1", 1);
  private static final Duration CALL = Duration.ofSeconds(1);
  private static final long TERM = 5;
  private static final List<MachineType> TYPES =
      List.of(
          new MachineType(
              "box", new Resources(16, 0, 64), 50, 0.5, 1, 0.4, Duration.ZERO, List.of("a")));

  private final VirtualTime time = new VirtualTime();
  private final FakeStateStore state = new FakeStateStore(time, new SplittableRandom(1), 0);
  private final FencingTokenSource tokens = new FencingTokenSource(TERM);
  private final LeaderTerm term;
  private int scheduled;
  private int wallReadings;
  private long sequence;

  LeaderTermFixture() {
    EventLoop loop = counting();
    RateLimiter rateLimiter = new RateLimiter(loop, 1, 1000, 1000);
    StateStoreClient client =
        new StateStoreClient(
            loop, rateLimiter, new ControlledTransport(time, state), ANYWHERE, CALL);
    Replica replica =
        new Replica(loop, client, rateLimiter, Duration.ofMillis(5), CALL.dividedBy(2));
    replica.start();
    run(Duration.ofMillis(50));
    assertTrue(replica.isLoaded());
    Transport silent = (to, request, deadline) -> new CompletableFuture<Reply>();
    term =
        new LeaderTerm(
            loop,
            replica,
            new WorkerClient(silent, CALL),
            new CloudClient(silent, ANYWHERE, CALL),
            new RoundCommitter(loop, client, rateLimiter, 8, 0),
            new SchedulingLoop.Limits(
                ROUND_MAX,
                REPORT.multipliedBy(2),
                Duration.ofSeconds(8),
                Duration.ofSeconds(150),
                20,
                8,
                Map.of()),
            new LeaderTerm.ProvisioningLimits(6, Duration.ofSeconds(6), Duration.ofSeconds(40)),
            new LeaderTerm.TermDependencies(
                new LeaderTerm.Authority(() -> true, () -> false),
                Map.of("red", new Team("red", 0, 0, 0, 0)),
                () -> TYPES,
                this::clock,
                new LeaderTerm.FleetPermissions(
                    () -> true,
                    () -> true,
                    zone -> false,
                    ReachabilityFixture.reachability("node-0", List.of()).machineRule()),
                new Meters(),
                Set.of(),
                Optional.empty()),
            timings(),
            TERM,
            higher -> {});
    replica.onChange(term::recordsChanged);
    term.start();
  }

  private static Timings timings() {
    return new Timings(
        REPORT,
        Duration.ofSeconds(12),
        Duration.ofSeconds(16),
        Duration.ofSeconds(4),
        CALL,
        CALL,
        Duration.ofSeconds(5));
  }

  private EventLoop counting() {
    return new EventLoop() {
      @Override
      public Duration now() {
        return time.now();
      }

      @Override
      public Timer schedule(Duration delay, Runnable task) {
        scheduled++;
        return time.schedule(delay, task);
      }
    };
  }

  private Instant clock() {
    wallReadings++;
    return Instant.EPOCH.plus(time.now());
  }

  /** How many tasks the leader has put on its event loop. */
  int scheduled() {
    return scheduled;
  }

  /** How often the wall clock was read: once a planned round while no job comes or ends. */
  int wallReadings() {
    return wallReadings;
  }

  VirtualTime time() {
    return time;
  }

  void run(Duration length) {
    Duration end = time.now().plus(length);
    while (time.runNextEvent(end)) {
      // Each step may schedule more.
    }
  }

  /** Some node accepts a job. */
  void accept(Job job) {
    StateStoreProtocol.Change change =
        new StateStoreProtocol.Change(Records.jobKey(job.id()), Records.encodeJob(job, 100), 0);
    state.handle(StateStoreProtocol.transactionRequest(Map.of(), List.of(change)));
  }

  /** The next report of a machine that runs so many tasks, as its worker would write it. */
  byte[] written(String machine, int tasks) {
    StringBuilder pieces = new StringBuilder();
    for (int task = 0; task < tasks; task++) {
      pieces
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
            machine, ++sequence, tokens.current(), pieces);
    return text.getBytes(StandardCharsets.UTF_8);
  }

  /** The leader takes a report in, as it came over the wire, and answers it. */
  byte[] report(byte[] written) {
    try {
      return term.handleHeartbeat(WorkerProtocol.parseHeartbeat(Json.parseObject(written)));
    } catch (MalformedMessageException e) {
      throw new AssertionError(e);
    }
  }
}
