package io.cherryspool.sim.cluster;

import io.cherryspool.config.RecoverySettings;
import io.cherryspool.controller.Controller;
import io.cherryspool.controller.recovery.SnapshotTarget;
import io.cherryspool.http.Endpoint;
import io.cherryspool.mesh.Mesh;
import io.cherryspool.reachability.Verdict;
import io.cherryspool.sim.fakes.InMemorySnapshotStore;
import io.cherryspool.sim.time.ProcessInbox;
import io.micrometer.core.instrument.MeterRegistry;
import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;

/**
 * A node of a {@link SimulatedCluster}. It runs at most one controller process at a time, which can
 * crash and is then replaced by a new one.
 */
public final class SimulatedController {
  private final SimulatedCluster cluster;
  private final RandomGenerator random;
  private final int index;
  private final Endpoint address;
  private final InMemorySnapshotStore snapshotStore = new InMemorySnapshotStore();
  private ProcessInbox inbox;
  private boolean isFrozen;
  private boolean isIsolated;
  private int processCount;
  private Controller controller;

  SimulatedController(
      SimulatedCluster cluster, RandomGenerator random, int index, Endpoint address) {
    this.cluster = cluster;
    this.random = random;
    this.index = index;
    this.address = address;
  }

  /**
   * Starts a controller process, which has no state of an earlier process except the snapshots on
   * disk.
   */
  void start() {
    processCount++;
    ProcessInbox processInbox = new ProcessInbox();
    inbox = processInbox;
    isFrozen = false;
    controller =
        new Controller(
            cluster.settings().settings(index),
            cluster.settings().operatorSettings(),
            new Controller.Dependencies(
                new Controller.Environment(
                    cluster.time().eventLoopOf(processInbox),
                    () -> Instant.EPOCH.plus(cluster.time().now()),
                    new SplittableRandom(random.nextLong())),
                cluster.network().transportFrom(address.host(), processInbox),
                heartbeat -> broadcastHeartbeat(processInbox, heartbeat),
                name() + "-life-" + processCount,
                () -> "",
                cluster
                    .settings()
                    .operatorSettings()
                    .recovery()
                    .flatMap(RecoverySettings::snapshotDirectory)
                    .map(directory -> new SnapshotTarget(snapshotStore, Runnable::run)),
                cluster.verdictRule()));
    cluster.network().listen(address, controller, processInbox);
    controller.start();
  }

  /** Binds the meters of the running process to the registry. */
  public void bindTo(MeterRegistry registry) {
    controller.bindTo(registry);
  }

  private void broadcastHeartbeat(ProcessInbox processInbox, Mesh.PeerHeartbeat heartbeat) {
    if (processInbox.isClosed() || isIsolated || cluster.isMeshDown()) {
      return;
    }
    for (SimulatedController other : cluster.nodes()) {
      if (other != this) {
        cluster
            .network()
            .datagramDelay(address.host(), other.address.host())
            .ifPresent(
                delay ->
                    cluster
                        .time()
                        .schedule(delay.plusMillis(2), () -> other.receiveHeartbeat(heartbeat)));
      }
    }
  }

  private void receiveHeartbeat(Mesh.PeerHeartbeat heartbeat) {
    if (controller != null && !isIsolated) {
      Controller current = controller;
      inbox.deliver(() -> current.receivePeerHeartbeat(heartbeat));
    }
  }

  /** Returns the name of the node in its settings. */
  public String name() {
    return ClusterSettings.nodeName(index);
  }

  public Endpoint address() {
    return address;
  }

  public String zone() {
    return ClusterSettings.nodeZone(index);
  }

  /** Returns the verdict of the process on the node's links; empty if no process runs. */
  public Optional<Verdict> verdict() {
    return Optional.ofNullable(controller).map(Controller::verdict);
  }

  /** Whether the process is the leader and may send commands to workers. */
  public boolean isLeader() {
    return controller != null && controller.isLeading();
  }

  /** Returns the snapshots on the disk of the node, which survive restarts of its process. */
  public InMemorySnapshotStore snapshotStore() {
    return snapshotStore;
  }

  /** Whether the process is rebuilding lost records. */
  public boolean isRebuilding() {
    return controller != null && controller.isRebuilding();
  }

  /**
   * Cuts the connections of the node to the state store, and drops its heartbeats to and from other
   * controllers, for the given duration. Connections to workers and users are not affected.
   */
  public void isolate(Duration length) {
    isIsolated = true;
    cutFromStateStore(length);
    cluster.time().schedule(length, () -> isIsolated = false);
  }

  /** Holds the messages between the node and the state store for the given duration. */
  public void cutFromStateStore(Duration length) {
    cluster.network().cut(address.host(), ClusterSettings.STATE_STORE.host(), length);
  }

  /**
   * Makes the state store reply to the requests of this node, and no others, with status 503 for
   * the given duration.
   */
  public void rejectStateStoreRequests(Duration length) {
    cluster.network().rejectRequests(address.host(), ClusterSettings.STATE_STORE.host(), length);
  }

  /** Freezes the process for the given duration, during which its clock continues. */
  public void freeze(Duration length) {
    if (controller != null && !isFrozen) {
      isFrozen = true;
      ProcessInbox processInbox = inbox;
      processInbox.freeze();
      long seed = random.nextLong();
      cluster
          .time()
          .schedule(
              length,
              () -> {
                if (!processInbox.isClosed()) {
                  isFrozen = false;
                  processInbox.resume(seed);
                }
              });
    }
  }

  /** Ends the process, and starts a new one after the given time. */
  public void crash(Duration downtime) {
    if (controller != null) {
      inbox.close();
      controller = null;
      cluster.network().close(address);
      cluster.time().schedule(downtime, this::start);
    }
  }
}
