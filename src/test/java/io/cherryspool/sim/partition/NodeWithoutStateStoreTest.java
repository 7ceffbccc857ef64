package io.cherryspool.sim.partition;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cherryspool.http.Request;
import io.cherryspool.model.Job;
import io.cherryspool.sim.cluster.DirectedFaultsFixture;
import io.cherryspool.sim.cluster.SimulatedController;
import io.cherryspool.sim.fakes.FakeWorker;
import io.cherryspool.sim.time.ProcessInbox;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests how a node that does not reach the state store serves users and workers. */
class NodeWithoutStateStoreTest extends DirectedFaultsFixture {
  private static final Duration CUT_DURATION = Duration.ofSeconds(12);

  /**
   * The state store answers 503 to the requests of a node, which forwards its users' requests to
   * another node.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4})
  void userRequestsAreForwardedToANodeThatReachesTheStateStore(long seed) {
    startCluster(seed, 3);
    SimulatedController node =
        seed % 2 == 0 ? cluster.leader() : cluster.nodeAfter(cluster.leader());
    node.rejectStateStoreRequests(CUT_DURATION);
    cluster.run(0.5 * seed);
    int failedRequestsBefore = cluster.users().failedRequestCount();
    List<Job> jobs = new ArrayList<>();
    for (int i = 0; i < 8; i++) {
      Job job = cluster.jobs().create("red", 1, 1, Duration.ofSeconds(2));
      cluster.users().submit(job, node.address());
      jobs.add(job);
      cluster.run(0.3);
      assertTrue(
          cluster.stateStore().hasKeyEndingWith("c/jobs/" + job.id()),
          job.id() + " was not accepted at once");
    }
    cluster.users().cancel(jobs.get(7).id(), node.address());
    cluster.run(0.3);
    assertTrue(
        cluster.rules().isCancelConfirmed(jobs.get(7).id()),
        "the cancellation was not confirmed at once");
    assertTrue(
        cluster.users().failedRequestCount() - failedRequestsBefore <= 1,
        "more than one request was not served; only the first refused one may fail");
    cluster.run(40);
    assertAllEnded(jobs);
  }

  /** The node knows the leader from the heartbeats of its peers. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void workersAreRedirectedToTheLeaderNamedInPeerHeartbeats(long seed) {
    startCluster(seed, 3);
    SimulatedController leader = cluster.leader();
    SimulatedController node = cluster.nodeAfter(leader);
    node.cutFromStateStore(CUT_DURATION);
    cluster.run(8);
    FakeWorker worker = cluster.workers().iterator().next();
    List<String> answers = new ArrayList<>();
    cluster
        .network()
        .transportFrom(worker.machine().host(), ProcessInbox.alwaysOpen())
        .send(node.address(), Request.post("/v1/report", worker.heartbeatBody()), CUT_DURATION)
        .thenAccept(reply -> answers.add(new String(reply.body(), StandardCharsets.UTF_8)));
    cluster.run(0.5);
    assertEquals(1, answers.size());
    assertTrue(answers.get(0).contains(leader.name()), answers.get(0));
  }

  /**
   * A node that can't serve a request answers 503 if the request was forwarded to it. Otherwise two
   * nodes that each take the other for healthy would forward a request back and forth.
   */
  @ParameterizedTest
  @ValueSource(strings = {"", "?forwarded"})
  void aForwardedRequestIsNotForwardedAgain(String query) {
    startCluster(1, 3);
    Job job = submit("red", 1, 1, LONG_RUN_TIME);
    awaitRunning(job, 1);
    SimulatedController node = cluster.leader();
    node.rejectStateStoreRequests(CUT_DURATION);
    cluster.run(4);
    List<Integer> statuses = new ArrayList<>();
    cluster
        .network()
        .transportFrom("user", ProcessInbox.alwaysOpen())
        .send(node.address(), Request.get("/api/jobs/" + job.id() + query), CUT_DURATION)
        .thenAccept(reply -> statuses.add(reply.status()));
    cluster.run(2);
    assertEquals(List.of(query.isEmpty() ? 200 : 503), statuses);
  }
}
