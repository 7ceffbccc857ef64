package io.cherryspool.controller;

import io.cherryspool.controller.api.StateStoreHealth;
import io.cherryspool.controller.election.StateStoreAccess;
import io.cherryspool.controller.recovery.RecoveryModule;
import io.cherryspool.http.Endpoint;
import io.cherryspool.mesh.LinkSummary;
import io.cherryspool.mesh.Mesh;
import io.cherryspool.reachability.Reachability;
import java.time.Duration;
import java.util.Optional;

/** Creates the heartbeats that this node sends to the other nodes. */
final class PeerHeartbeatFactory {
  private final String nodeName;
  private final String clientAddress;
  private final StateStoreAccess stateStore;
  private final StateStoreHealth health;
  private final Reachability reachability;
  private final LeaderTerms terms;
  private final Optional<RecoveryModule> recovery;

  /**
   * Creates the factory.
   *
   * @param clientAddress the address at which this node serves users' requests
   */
  PeerHeartbeatFactory(
      String nodeName,
      Endpoint clientAddress,
      StateStoreAccess stateStore,
      StateStoreHealth health,
      Reachability reachability,
      LeaderTerms terms,
      Optional<RecoveryModule> recovery) {
    this.nodeName = nodeName;
    this.clientAddress = clientAddress.toString();
    this.stateStore = stateStore;
    this.health = health;
    this.reachability = reachability;
    this.terms = terms;
    this.recovery = recovery;
  }

  /** Creates the heartbeat for this time. */
  Mesh.PeerHeartbeat create(Duration now) {
    int writeRateTenths = (int) Math.ceil(10 * stateStore.rateLimiter().recentWritesPerSecond());
    return new Mesh.PeerHeartbeat(
        nodeName,
        stateStore.records().term(),
        health.isReachable(),
        health.millisSinceLastRead(),
        reachability.redirectedWorkers().count(now),
        writeRateTenths,
        recovery
            .map(RecoveryModule::retainedRecordsSummary)
            .orElse(Mesh.RetainedRecordsSummary.NONE),
        linkSummary(now));
  }

  /** Returns the summary of this node's links at this time. */
  LinkSummary linkSummary(Duration now) {
    return reachability.linkSummary(now, terms.isLeading(), clientAddress);
  }
}
