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
 * Three controllers as processes and a dozen fake workers, with a relay on each link of the
 * controllers. Chosen links fail, alone and together, and two controllers are ended while links are
 * down. No task may start twice, and no answer may be lost.
 */
class PartitionLoopbackTest extends LoopbackFixture {
  private static final int SERVICES = 83;
  private static final int CONTROLLERS = 3;
  private static final int MACHINES = 12;

  private static final RelayedRoutes ROUTES = new RelayedRoutes("127." + SERVICES + ".2.");

  PartitionLoopbackTest() {
    super(
        CONTROLLERS,
        new LoopbackCluster(
            SERVICES, CONTROLLERS, MACHINES, new LoopbackNodes.Limits(300, 120, 1024, 0), ROUTES));
  }

  @AfterAll
  static void closeRelays() throws IOException {
    ROUTES.close();
  }

  /** What a node tells of all links; empty without an answer. */
  private Optional<JsonNode> links(int number) {
    Reply reply = ask(number, Request.get("/links"));
    try {
      return reply == null || reply.status() != 200
          ? Optional.empty()
          : Optional.of(Json.parseObject(reply.body()));
    } catch (MalformedMessageException e) {
      throw new AssertionError(e);
    }
  }

  /** Who says of itself that it leads; -1 if nobody does. */
  private int leader() {
    for (int i = 0; i < CONTROLLERS; i++) {
      if (links(i)
          .filter(root -> root.path("nodes").path(0).path("leading").asBoolean())
          .isPresent()) {
        return i;
      }
    }
    return -1;
  }

  private int awaitLeader() throws InterruptedException {
    until("somebody leads", () -> leader() >= 0);
    return leader();
  }

  private String verdict(int number) {
    return links(number)
        .map(root -> root.path("nodes").path(0).path("verdict").asText())
        .orElse("");
  }

  @Test
  @Timeout(240)
  void noTaskStartsTwiceAndNoAnswerIsLost() throws Exception {
    cluster.listen();
    startControllers(Optional.empty());
    cluster.bootWorkers();
    submit(30, 12);
    String cancelled = submit(6, 60);
    until("tasks run", () -> cluster.fleet().runningTaskCount() >= 20);

    loseStateStoreAtTheLeaderAsAFollowerEnds();
    cutTheLeaderFromWorkersAndPeersAndEndIt(cancelled);
    flapTheLeadersLink();
    until("all jobs have ended", this::allEnded);
    checkAnswers();
    awaitAllUp();
  }

  /** The state store alone is lost to the leader, which forwards its users. */
  private void loseStateStoreAtTheLeaderAsAFollowerEnds() throws Exception {
    int leader = awaitLeader();
    int follower = (leader + 1) % CONTROLLERS;
    ROUTES.state(leader).setMode(TcpRelay.Mode.RESET);
    until("the leader holds placing", () -> verdict(leader).startsWith("hold-placing"));
    assertTrue(submitAt(leader, 3, 2), "accepted through another node");
    kill(follower);
    pollFor(3);
    ROUTES.state(leader).setMode(TcpRelay.Mode.PASS);
    start(follower, Optional.empty());
  }

  /** No worker's heartbeat reaches the leader, and those of its peers are held on the way. */
  private void cutTheLeaderFromWorkersAndPeersAndEndIt(String cancelled) throws Exception {
    int leader = awaitLeader();
    cancel(cancelled);
    setInboundMode(leader, TcpRelay.Mode.HOLD_REQUESTS);
    submit(8, 6);
    pollFor(5);
    kill(leader);
    pollFor(2);
    setInboundMode(leader, TcpRelay.Mode.PASS);
    start(leader, Optional.empty());
  }

  private void setInboundMode(int node, TcpRelay.Mode mode) {
    ROUTES.workers(node).setMode(mode);
    for (int i = 0; i < CONTROLLERS; i++) {
      if (i != node) {
        ROUTES.peer(i, node).setMode(mode);
      }
    }
  }

  /** The state store's replies to whichever node leads are held again and again. */
  private void flapTheLeadersLink() throws Exception {
    submit(10, 5);
    for (int i = 0; i < 4; i++) {
      int leader = Math.max(0, leader());
      ROUTES.state(leader).setMode(TcpRelay.Mode.HOLD_ANSWERS);
      pollFor(1);
      ROUTES.state(leader).setMode(TcpRelay.Mode.PASS);
      pollFor(1);
    }
  }

  private void awaitAllUp() throws InterruptedException {
    for (int i = 0; i < 120; i++) {
      if (links(0).filter(root -> root.path("all_up").asBoolean()).isPresent()) {
        return;
      }
      Thread.sleep(250);
    }
    throw new AssertionError("a link is not up again: " + links(0));
  }
}
