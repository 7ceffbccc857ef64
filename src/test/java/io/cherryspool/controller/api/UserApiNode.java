package io.cherryspool.controller.api;

import static org.junit.jupiter.api.Assertions.assertFalse;

import io.cherryspool.http.Endpoint;
import io.cherryspool.http.Reply;
import io.cherryspool.model.MachineType;
import io.cherryspool.model.Team;
import io.cherryspool.sim.fakes.ControlledTransport;
import io.cherryspool.sim.fakes.FakeStateStore;
import io.cherryspool.sim.time.VirtualTime;
import io.cherryspool.store.GroupCommit;
import io.cherryspool.store.RateLimiter;
import io.cherryspool.store.Replica;
import io.cherryspool.store.StateStoreClient;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

/** The part of a node that serves users, with its own connection to the state store. */
final class UserApiNode {
  private static final Duration CALL_TIMEOUT = Duration.ofSeconds(1);
  private static final int MAX_VALUE_BYTES = 8000;
  private static final int FAILURE_CAP = 20;

  private final VirtualTime time;
  private final ControlledTransport transport;
  private final Replica records;
  private final UserApi users;
  private List<MachineType> machineTypes;
  private boolean isBehindPeers;

  UserApiNode(VirtualTime time, FakeStateStore stateStore, List<MachineType> machineTypes) {
    this.time = time;
    this.machineTypes = machineTypes;
    transport = new ControlledTransport(time, stateStore);
    RateLimiter rateLimiter = new RateLimiter(time, 1, 1000, 1000);
    StateStoreClient client =
        new StateStoreClient(
            time, rateLimiter, transport, new Endpoint("127.0.0.1", 1), CALL_TIMEOUT);
    records =
        new Replica(time, client, rateLimiter, Duration.ofMillis(5), CALL_TIMEOUT.dividedBy(2));
    GroupCommit commits = new GroupCommit(time, client, rateLimiter, 8, 32, CALL_TIMEOUT);
    SubmissionValidator validator =
        new SubmissionValidator(
            Map.of("red", new Team("red", 0, 0, 0, 0)),
            () -> this.machineTypes,
            () -> Instant.EPOCH,
            MAX_VALUE_BYTES);
    users = new UserApi(records, commits, validator, () -> isBehindPeers, FAILURE_CAP);
  }

  void start() {
    records.start();
  }

  CompletableFuture<Reply> submit(byte[] body) {
    return users.submit(body);
  }

  CompletableFuture<Reply> poll(String id) {
    return users.poll(id);
  }

  CompletableFuture<Reply> cancel(String id) {
    return users.cancel(id);
  }

  /** The connection to the state store, on which messages can be delayed and lost. */
  ControlledTransport transport() {
    return transport;
  }

  /** The node's replica of the records. */
  Replica records() {
    return records;
  }

  /** Sets the machine types that the node knows; null if it does not know them. */
  void setMachineTypes(List<MachineType> types) {
    machineTypes = types;
  }

  void setBehindPeers(boolean value) {
    isBehindPeers = value;
  }

  /**
   * Makes the node read all keys again. Its request is held until the transport releases {@code
   * /keys}.
   */
  void reload() {
    transport.interceptNext("/keys", ControlledTransport.Interception.HOLD_REQUEST);
    transport.replaceNextReply(ControlledTransport.READ, 410, "{}");
    records.refresh();
    Duration end = time.now().plusMillis(10);
    while (time.runNextEvent(end)) {
      // Each event may schedule further events.
    }
    transport.release(ControlledTransport.READ);
    assertFalse(records.isLoaded());
  }
}
