package io.cherryspool.sim.loopback;

import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import io.cherryspool.http.Reply;
import io.cherryspool.http.Request;
import io.cherryspool.wire.Json;
import io.cherryspool.wire.MalformedMessageException;
import java.io.IOException;
import java.util.Optional;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Runs three controllers in separate processes and a dozen fake workers, with a relay on each link
 * of the controllers. Links fail alone and together, and two controllers are killed while links are
 * down. No task may start twice, and no job may lose its outcome.
 */
class PartitionLoopbackTest extends LoopbackFixture {
  private static final int SUBNET = 83;
  private static final int CONTROLLERS = 3;
  private static final int MACHINES = 12;

  private static final RelayedRoutes ROUTES = new RelayedRoutes("127." + SUBNET + ".2.");

  PartitionLoopbackTest() {
    super(
        CONTROLLERS,
        new LoopbackCluster(
            SUBNET, CONTROLLERS, MACHINES, new LoopbackNodes.Limits(300, 120, 1024, 0), ROUTES));
  }

  @AfterAll
  static void closeRelays() throws IOException {
    ROUTES.close();
  }

  /** Returns what a node reports about all links; empty without a usable response. */
  private Optional<JsonNode> fetchLinks(int number) {
    Reply reply = send(number, Request.get("/links"));
    try {
      return reply == null || reply.status() != 200
          ? Optional.empty()
          : Optional.of(Json.parseObject(reply.body()));
    } catch (MalformedMessageException e) {
      throw new AssertionError(e);
    }
  }

  /** Returns the number of a node that reports itself as leader; -1 if there is none. */
  private int findLeader() {
    for (int i = 0; i < CONTROLLERS; i++) {
      if (fetchLinks(i)
          .filter(root -> root.path("nodes").path(0).path("leading").asBoolean())
          .isPresent()) {
        return i;
      }
    }
    return -1;
  }

  private int awaitLeader() throws InterruptedException {
    await("a node leads", () -> findLeader() >= 0);
    return findLeader();
  }

  private String fetchVerdict(int number) {
    return fetchLinks(number)
        .map(root -> root.path("nodes").path(0).path("verdict").asText())
        .orElse("");
  }

  @Test
  @Timeout(240)
  void startsNoTaskTwiceAndLosesNoOutcomeWhileLinksFail() throws Exception {
    cluster.startServers();
    startControllers(Optional.empty());
    cluster.bootWorkers();
    submit(30, 12);
    String cancelled = submit(6, 60);
    await("tasks run", () -> cluster.fleet().runningTaskCount() >= 20);

    cutLeaderFromStateStoreAndKillFollower();
    cutLeaderFromWorkersAndPeersAndKillIt(cancelled);
    flapLeadersStateStoreLink();
    await("all jobs have ended", this::haveAllJobsEnded);
    checkOutcomes();
    awaitAllLinksUp();
  }

  /**
   * Cuts only the leader's link to the state store, so that the leader must forward its users'
   * requests to another node, and kills a follower meanwhile.
   */
  private void cutLeaderFromStateStoreAndKillFollower() throws Exception {
    int leader = awaitLeader();
    int follower = (leader + 1) % CONTROLLERS;
    ROUTES.stateStoreRelay(leader).setMode(TcpRelay.Mode.RESET);
    await("the leader stops placing tasks", () -> fetchVerdict(leader).startsWith("hold-placing"));
    assertTrue(
        submitAt(leader, 3, 2),
        "the leader must get the job accepted by forwarding it to another node");
    killController(follower);
    pollJobsFor(3);
    ROUTES.stateStoreRelay(leader).setMode(TcpRelay.Mode.PASS);
    startController(follower, Optional.empty());
  }

  /** Holds all heartbeats from workers and peers to the leader, and kills the leader meanwhile. */
  private void cutLeaderFromWorkersAndPeersAndKillIt(String cancelled) throws Exception {
    int leader = awaitLeader();
    cancel(cancelled);
    setInboundMode(leader, TcpRelay.Mode.HOLD_REQUESTS);
    submit(8, 6);
    pollJobsFor(5);
    killController(leader);
    pollJobsFor(2);
    setInboundMode(leader, TcpRelay.Mode.PASS);
    startController(leader, Optional.empty());
  }

  private void setInboundMode(int node, TcpRelay.Mode mode) {
    ROUTES.workersRelay(node).setMode(mode);
    for (int i = 0; i < CONTROLLERS; i++) {
      if (i != node) {
        ROUTES.peerRelay(i, node).setMode(mode);
      }
    }
  }

  /** Repeatedly holds the state store's replies to the current leader. */
  private void flapLeadersStateStoreLink() throws Exception {
    submit(10, 5);
    for (int i = 0; i < 4; i++) {
      int leader = Math.max(0, findLeader());
      ROUTES.stateStoreRelay(leader).setMode(TcpRelay.Mode.HOLD_REPLIES);
      pollJobsFor(1);
      ROUTES.stateStoreRelay(leader).setMode(TcpRelay.Mode.PASS);
      pollJobsFor(1);
    }
  }

  private void awaitAllLinksUp() throws InterruptedException {
    for (int i = 0; i < 120; i++) {
      if (fetchLinks(0).filter(root -> root.path("all_up").asBoolean()).isPresent()) {
        return;
      }
      Thread.sleep(250);
    }
    throw new AssertionError("not all links are up again: " + fetchLinks(0));
  }
}
