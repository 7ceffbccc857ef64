package io.cherryspool.sim.cluster;

import io.cherryspool.config.RecoverySettings;
import io.cherryspool.controller.Controller;
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

/** A controller's place, in which processes come and go. */
public final class SimulatedController {
  private final SimulatedCluster cluster;
  private final RandomGenerator random;
  private final int index;
  private final Endpoint address;
  private final InMemorySnapshotStore snapshotStore = new InMemorySnapshotStore();
  private ProcessInbox gate;
  private boolean still;
  private boolean alone;
  private int life;
  private Controller controller;

  SimulatedController(
      SimulatedCluster cluster, RandomGenerator random, int index, Endpoint address) {
    this.cluster = cluster;
    this.random = random;
    this.index = index;
    this.address = address;
  }

  void start() {
    life++;
    ProcessInbox own = new ProcessInbox();
    gate = own;
    still = false;
    controller =
        new Controller(
            cluster.settings().settings(index),
            cluster.settings().operatorSettings(),
            new Controller.Dependencies(
                cluster.time().eventLoopOf(own),
                cluster.network().from(address.host(), own),
                heartbeat -> broadcast(own, heartbeat),
                new SplittableRandom(random.nextLong()),
                () -> Instant.EPOCH.plus(cluster.time().now()),
                name() + "-life-" + life,
                () -> "",
                cluster
                    .settings()
                    .operatorSettings()
                    .recovery()
                    .flatMap(RecoverySettings::snapshotDirectory)
                    .map(directory -> new Controller.SnapshotTarget(snapshotStore, Runnable::run)),
                cluster.verdictRule()));
    cluster.network().listen(address, controller, own);
    controller.start();
  }

  /** Adds the node's meters to the registry. */
  public void bindTo(MeterRegistry registry) {
    controller.bindTo(registry);
  }

  private void broadcast(ProcessInbox own, Mesh.PeerHeartbeat heartbeat) {
    if (own.isClosed() || alone || cluster.isMeshDown()) {
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
    if (controller != null && !alone) {
      Controller live = controller;
      gate.pass(() -> live.receive(heartbeat));
    }
  }

  public String name() {
    return ClusterSettings.name(index);
  }

  public Endpoint address() {
    return address;
  }

  public String zone() {
    return ClusterSettings.zone(index);
  }

  /** What its process does about its links now; empty while it is away. */
  public Optional<Verdict> verdict() {
    return Optional.ofNullable(controller).map(Controller::verdict);
  }

  /** Whether its process leads now and may act for the controllers. */
  public boolean isLeader() {
    return controller != null && controller.isLeading();
  }

  /** What its disk holds, whichever process wrote it. */
  public InMemorySnapshotStore snapshotStore() {
    return snapshotStore;
  }

  /** Whether its process rebuilds lost records. */
  public boolean isRebuilding() {
    return controller != null && controller.isRebuilding();
  }

  /** Loses the state service and the other controllers, but not its workers. */
  public void isolate(Duration length) {
    alone = true;
    cutFromStateStore(length);
    cluster.time().schedule(length, () -> alone = false);
  }

  public void cutFromStateStore(Duration length) {
    cluster.network().cut(address.host(), ClusterSettings.STATE.host(), length);
  }

  /** The state service refuses this node alone. */
  public void refuseByStateStore(Duration length) {
    cluster.network().refuseRequests(address.host(), ClusterSettings.STATE.host(), length);
  }

  /** Does nothing for so long, while its clocks run on. */
  public void freeze(Duration length) {
    if (controller != null && !still) {
      still = true;
      ProcessInbox own = gate;
      own.freeze();
      long seed = random.nextLong();
      cluster
          .time()
          .schedule(
              length,
              () -> {
                if (!own.isClosed()) {
                  still = false;
                  own.resume(seed);
                }
              });
    }
  }

  public void crash(Duration down) {
    if (controller != null) {
      gate.close();
      controller = null;
      cluster.network().close(address);
      cluster.time().schedule(down, this::start);
    }
  }
}
