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

/** A node of a {@link SimulatedCluster}, on which processes of the controller come and go. */
public final class SimulatedController {
  private final SimulatedCluster cluster;
  private final RandomGenerator random;
  private final int index;
  private final Endpoint address;
  private final InMemorySnapshotStore snapshotStore = new InMemorySnapshotStore();
  private ProcessInbox inbox;
  private boolean frozen;
  private boolean isolated;
  private int processCount;
  private Controller controller;

  SimulatedController(
      SimulatedCluster cluster, RandomGenerator random, int index, Endpoint address) {
    this.cluster = cluster;
    this.random = random;
    this.index = index;
    this.address = address;
  }

  /** Starts a process, which knows nothing of the one before. */
  void start() {
    processCount++;
    ProcessInbox own = new ProcessInbox();
    inbox = own;
    frozen = false;
    controller =
        new Controller(
            cluster.settings().settings(index),
            cluster.settings().operatorSettings(),
            new Controller.Dependencies(
                new Controller.Environment(
                    cluster.time().eventLoopOf(own),
                    () -> Instant.EPOCH.plus(cluster.time().now()),
                    new SplittableRandom(random.nextLong())),
                cluster.network().transportFrom(address.host(), own),
                heartbeat -> broadcast(own, heartbeat),
                name() + "-life-" + processCount,
                () -> "",
                cluster
                    .settings()
                    .operatorSettings()
                    .recovery()
                    .flatMap(RecoverySettings::snapshotDirectory)
                    .map(directory -> new SnapshotTarget(snapshotStore, Runnable::run)),
                cluster.verdictRule()));
    cluster.network().listen(address, controller, own);
    controller.start();
  }

  /** Adds the node's meters to the registry. */
  public void bindTo(MeterRegistry registry) {
    controller.bindTo(registry);
  }

  private void broadcast(ProcessInbox own, Mesh.PeerHeartbeat heartbeat) {
    if (own.isClosed() || isolated || cluster.isMeshDown()) {
      return;
    }
    for (SimulatedController other : cluster.nodes()) {
      if (other != this) {
        cluster
            .network()
            .datagramDelay(address.host(), other.address.host())
            .ifPresent(
                delay ->
                    cluster.time().schedule(delay.plusMillis(2), () -> other.receive(heartbeat)));
      }
    }
  }

  private void receive(Mesh.PeerHeartbeat heartbeat) {
    if (controller != null && !isolated) {
      Controller live = controller;
      inbox.deliver(() -> live.receivePeerHeartbeat(heartbeat));
    }
  }

  /** The name in its settings. */
  public String name() {
    return ClusterSettings.name(index);
  }

  public Endpoint address() {
    return address;
  }

  public String zone() {
    return ClusterSettings.zone(index);
  }

  /** The verdict of its process on its links; empty while no process runs. */
  public Optional<Verdict> verdict() {
    return Optional.ofNullable(controller).map(Controller::verdict);
  }

  /** Whether its process leads and may command workers. */
  public boolean isLeader() {
    return controller != null && controller.isLeading();
  }

  /** Its disk, which outlives its processes. */
  public InMemorySnapshotStore snapshotStore() {
    return snapshotStore;
  }

  /** Whether its process rebuilds lost records. */
  public boolean isRebuilding() {
    return controller != null && controller.isRebuilding();
  }

  /** Cuts the node off from the state store and the other controllers, but not from workers. */
  public void isolate(Duration length) {
    isolated = true;
    cutFromStateStore(length);
    cluster.time().schedule(length, () -> isolated = false);
  }

  /** What the node and the state store send each other arrives only after so long. */
  public void cutFromStateStore(Duration length) {
    cluster.network().cut(address.host(), ClusterSettings.STATE.host(), length);
  }

  /** The state store answers 503 to this node alone, for so long. */
  public void rejectStateStoreRequests(Duration length) {
    cluster.network().rejectRequests(address.host(), ClusterSettings.STATE.host(), length);
  }

  /** The process does nothing for so long, while its clock goes on. */
  public void freeze(Duration length) {
    if (controller != null && !frozen) {
      frozen = true;
      ProcessInbox own = inbox;
      own.freeze();
      long seed = random.nextLong();
      cluster
          .time()
          .schedule(
              length,
              () -> {
                if (!own.isClosed()) {
                  frozen = false;
                  own.resume(seed);
                }
              });
    }
  }

  /** Ends the process, and starts another after so long. */
  public void crash(Duration down) {
    if (controller != null) {
      inbox.close();
      controller = null;
      cluster.network().close(address);
      cluster.time().schedule(down, this::start);
    }
  }
}
