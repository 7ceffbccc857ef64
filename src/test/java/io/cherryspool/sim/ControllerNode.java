package io.cherryspool.sim;

import io.cherryspool.config.RecoverySettings;
import io.cherryspool.controller.Controller;
import io.cherryspool.http.Endpoint;
import io.cherryspool.mesh.Mesh;
import io.cherryspool.reachability.Verdict;
import io.micrometer.core.instrument.MeterRegistry;
import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;

/** A controller's place, in which processes come and go. */
final class ControllerNode {
  private final Cluster cluster;
  private final RandomGenerator random;
  private final int index;
  private final Endpoint address;
  private final MemorySnapshots disk = new MemorySnapshots();
  private Gate gate;
  private boolean still;
  private boolean alone;
  private int life;
  private Controller controller;

  ControllerNode(Cluster cluster, RandomGenerator random, int index, Endpoint address) {
    this.cluster = cluster;
    this.random = random;
    this.index = index;
    this.address = address;
  }

  void begin() {
    life++;
    Gate own = new Gate();
    gate = own;
    still = false;
    controller =
        new Controller(
            cluster.settings(index),
            cluster.operators(),
            new Controller.Dependencies(
                cluster.time().of(own),
                cluster.net().from(address.host(), own),
                heartbeat -> broadcast(own, heartbeat),
                new SplittableRandom(random.nextLong()),
                () -> Instant.EPOCH.plus(cluster.time().now()),
                name() + "-life-" + life,
                () -> "",
                cluster
                    .operators()
                    .recovery()
                    .flatMap(RecoverySettings::snapshotDirectory)
                    .map(directory -> new Controller.SnapshotTarget(disk, Runnable::run)),
                cluster.verdicts()));
    cluster.net().listen(address, controller, own);
    controller.start();
  }

  /** Adds the node's meters to the registry. */
  void bindTo(MeterRegistry registry) {
    controller.bindTo(registry);
  }

  private void broadcast(Gate own, Mesh.PeerHeartbeat heartbeat) {
    if (own.closed() || alone || cluster.meshRefused()) {
      return;
    }
    for (ControllerNode other : cluster.nodes()) {
      if (other != this) {
        cluster
            .net()
            .passes(address.host(), other.address.host())
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

  String name() {
    return "node-" + index;
  }

  Endpoint address() {
    return address;
  }

  String zone() {
    return Cluster.ZONES.get(index % Cluster.ZONES.size());
  }

  /** What its process does about its links now; empty while it is away. */
  Optional<Verdict> verdict() {
    return Optional.ofNullable(controller).map(Controller::verdict);
  }

  /** Whether its process leads now and may act for the controllers. */
  boolean leads() {
    return controller != null && controller.isLeading();
  }

  /** What its disk holds, whichever process wrote it. */
  MemorySnapshots disk() {
    return disk;
  }

  /** Whether its process rebuilds lost records. */
  boolean rebuilds() {
    return controller != null && controller.isRebuilding();
  }

  /** Loses the state service and the other controllers, but not its workers. */
  void isolate(Duration length) {
    alone = true;
    cutFromState(length);
    cluster.time().schedule(length, () -> alone = false);
  }

  void cutFromState(Duration length) {
    cluster.net().cut(address.host(), Cluster.STATE.host(), length);
  }

  /** The state service refuses this node alone. */
  void refuse(Duration length) {
    cluster.net().refuse(address.host(), Cluster.STATE.host(), length);
  }

  /** Does nothing for so long, while its clocks run on. */
  void freeze(Duration length) {
    if (controller != null && !still) {
      still = true;
      Gate own = gate;
      own.standStill();
      long seed = random.nextLong();
      cluster
          .time()
          .schedule(
              length,
              () -> {
                if (!own.closed()) {
                  still = false;
                  own.goOn(seed);
                }
              });
    }
  }

  void crash(Duration down) {
    if (controller != null) {
      gate.close();
      controller = null;
      cluster.net().close(address);
      cluster.time().schedule(down, this::begin);
    }
  }
}
