package io.cherryspool.sim.cluster;

import io.cherryspool.http.Endpoint;
import io.cherryspool.sim.fakes.FakeCloud;
import io.cherryspool.sim.fakes.FakeWorker;
import java.time.Duration;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.Consumer;

/** Injects faults of every kind, drawn by chance: alone, in pairs and in threes. */
final class FaultInjector {
  private static final int KINDS = 37;

  private final SimulatedCluster cluster;
  private final SplittableRandom random;
  private final double end;
  private final Runnable guests;

  /**
   * Creates the fault injector.
   *
   * @param end when the last may begin, in seconds
   * @param guests brings work of a team without a guarantee
   */
  FaultInjector(SimulatedCluster cluster, double end, Runnable guests) {
    this.cluster = cluster;
    this.random = cluster.random().split();
    this.end = end;
    this.guests = guests;
  }

  void begin() {
    cluster.schedule(20, this::next);
    cluster.stateStore().onPut(this::put);
  }

  private void next() {
    if (cluster.time().seconds() > end) {
      return;
    }
    cluster.schedule(3 + random.nextDouble() * 20, this::next);
    // Two or three at once, or in the middle of one another: most rules break where they meet.
    for (int more = random.nextInt(6); more > 3; more--) {
      cluster.schedule(random.nextDouble() * 6, this::strike);
    }
    strike();
  }

  /** What was kept for the next leader reaches every controller just as that one begins. */
  private void put(String key) {
    if (key.equals("c/leader")) {
      List<Endpoint> all = cluster.nodes().stream().map(SimulatedController::address).toList();
      List.of(0, 4, 12, 40)
          .forEach(
              wait -> cluster.schedule(wait / 1e3, () -> cluster.network().replayHeartbeats(all)));
      cluster.schedule(0.05, cluster.network()::discardRecordedHeartbeats);
    }
  }

  /** One fault of a random kind. The kinds have numbers, which decide what a seed injects. */
  private void strike() {
    Duration length = Duration.ofMillis(2000 + random.nextLong(25_000));
    SimulatedController node = cluster.nodes().get(random.nextInt(cluster.nodes().size()));
    SimulatedController leader = cluster.currentLeader().orElse(node);
    int kind = random.nextInt(KINDS);
    injectControllerFault(kind, node, leader, length);
    injectServiceFault(kind, node, leader, length);
    injectWorkerFault(kind, node, length);
    injectNetworkFault(kind, length);
    injectLoad(kind, length);
  }

  /** Faults of controllers and of the heartbeats between them. */
  private void injectControllerFault(
      int kind, SimulatedController node, SimulatedController leader, Duration length) {
    switch (kind) {
      case 0 -> node.crash(Duration.ofMillis(200 + random.nextLong(8000)));
      case 1 ->
          cluster
              .nodes()
              .forEach(item -> item.crash(Duration.ofMillis(500 + random.nextLong(8000))));
      case 10 -> node.isolate(length);
      case 11 -> {
        // Back at once, and maybe gone again in the middle of the election that follows.
        node.crash(Duration.ofMillis(50 + random.nextLong(400)));
        cluster.schedule(0.5 + random.nextDouble(), () -> node.crash(Duration.ofMillis(100)));
      }
      case 12 -> leader.isolate(length);
      case 13 -> node.freeze(length);
      case 14 -> leader.freeze(Duration.ofMillis(500 + random.nextLong(40_000)));
      case 16 -> {
        cluster.setMeshDown(true);
        later(length, () -> cluster.setMeshDown(false));
      }
      case 17 -> {
        for (int i = 0; i < cluster.nodes().size(); i++) {
          SimulatedController each = cluster.nodes().get(i);
          cluster.schedule(6 * i, () -> each.crash(Duration.ofMillis(200 + random.nextLong(6000))));
        }
      }
      case 23 -> node.crash(Duration.ofMillis(12_000 + random.nextLong(78_000)));
      default -> {
        // A fault of another group.
      }
    }
  }

  /** Faults of the state store and the cloud. */
  private void injectServiceFault(
      int kind, SimulatedController node, SimulatedController leader, Duration length) {
    switch (kind) {
      case 2 -> cluster.stateStoreOutage(length);
      case 3 -> {
        cluster.cloud().setDown(true);
        later(length, () -> cluster.cloud().setDown(false));
      }
      case 4 -> node.cutFromStateStore(length);
      case 18 -> {
        cluster.stateStore().delayCommits(0.1 + random.nextDouble() / 2);
        later(length, () -> cluster.stateStore().delayCommits(0));
      }
      case 19 -> node.rejectStateStoreRequests(length);
      case 20 -> leader.rejectStateStoreRequests(length);
      case 25 -> {
        cluster.stateStore().loseReplies(0.1 + random.nextDouble() / 2);
        later(length, () -> cluster.stateStore().loseReplies(0));
      }
      case 32 -> gap(leader);
      case 33 -> {
        cluster.cloud().setFastBoot(true);
        later(length.multipliedBy(2), () -> cluster.cloud().setFastBoot(false));
      }
      case 34 -> {
        cluster.stateStore().delayReplies(1500);
        later(length, () -> cluster.stateStore().delayReplies(0));
      }
      default -> {
        // A fault of another group.
      }
    }
  }

  /** Faults of machines and of their links. */
  private void injectWorkerFault(int kind, SimulatedController node, Duration length) {
    switch (kind) {
      case 5 -> {
        for (FakeCloud.Machine machine : cluster.cloud().runningMachines()) {
          if (random.nextInt(3) > 0) {
            cluster.network().cut(node.address().host(), machine.host(), length);
          }
        }
      }
      case 6 -> anyWorker().ifPresent(worker -> worker.hang(length));
      case 7 -> anyWorker().ifPresent(FakeWorker::kill);
      case 8 ->
          anyWorker()
              .ifPresent(
                  worker -> {
                    worker.setPreemptionNotice(6);
                    cluster.schedule(6, () -> cluster.cloud().reclaim(worker.machine().name()));
                  });
      case 9 ->
          anyWorker().ifPresent(worker -> cluster.network().dropInbound(host(worker), length));
      case 24 -> anyWorker().ifPresent(worker -> worker.failTasksFor(length.multipliedBy(3)));
      case 27 -> someWorkers(worker -> cluster.network().dropOutbound(host(worker), length));
      case 28 -> someWorkers(worker -> cluster.network().dropInbound(host(worker), length));
      default -> {
        // A fault of another group.
      }
    }
  }

  /** Faults of the network, among them a copy of each heartbeat for the next leader. */
  private void injectNetworkFault(int kind, Duration length) {
    switch (kind) {
      case 15 ->
          cluster.network().cutZone(anyZone(), Duration.ofMillis(5000 + random.nextLong(45_000)));
      case 26 -> cluster.network().recordHeartbeats();
      case 35 -> {
        cluster.network().setMaxExtraDelay(600);
        later(length, () -> cluster.network().setMaxExtraDelay(0));
      }
      case 36 -> {
        String zone = anyZone();
        for (SimulatedController item : cluster.nodes()) {
          for (FakeCloud.Machine machine : cluster.cloud().runningMachines()) {
            if (machine.zone().equals(zone) != item.zone().equals(zone)) {
              cluster.network().cut(item.address().host(), machine.host(), length);
            }
          }
        }
      }
      default -> {
        // A fault of another group.
      }
    }
  }

  /** Users who do more than usual. */
  private void injectLoad(int kind, Duration length) {
    switch (kind) {
      case 21 -> {
        cluster.users().setPollingFactor(8);
        later(length, () -> cluster.users().setPollingFactor(1));
      }
      case 22 -> guests.run();
      case 29 -> cancelRunning();
      case 30 -> {
        cluster.users().setCancelAtEndShare(0.5);
        later(length, () -> cluster.users().setCancelAtEndShare(0));
      }
      case 31 -> {
        cluster.users().setBurstAfterStatusChange(true);
        later(length, () -> cluster.users().setBurstAfterStatusChange(false));
      }
      default -> {
        // A fault of another group.
      }
    }
  }

  /** The leader alone loses the state store, jobs are cancelled, then all lose it for long. */
  private void gap(SimulatedController leader) {
    leader.rejectStateStoreRequests(Duration.ofSeconds(14));
    double pause = 0.2 + random.nextDouble() * 6;
    cluster.schedule(random.nextDouble() * pause, this::cancelRunning);
    cluster.schedule(
        pause,
        () ->
            cluster.stateStoreOutage(
                SimulatedCluster.CANCEL_LIMIT.plus(Duration.ofMillis(random.nextLong(15_000)))));
  }

  /** Some jobs that run are called off at once; some of their machines hang meanwhile. */
  private void cancelRunning() {
    List<String> ids =
        cluster.workers().stream()
            .flatMap(worker -> worker.runningTasks().stream())
            .map(task -> task.substring(0, task.lastIndexOf('/')))
            .distinct()
            .filter(id -> !cluster.rules().isCancelRequested(id))
            .sorted(Comparator.reverseOrder())
            .limit(1 + random.nextInt(4))
            .toList();
    boolean hang = random.nextBoolean();
    for (String id : ids) {
      cluster.schedule(random.nextDouble() / 5, () -> cluster.users().cancel(id));
      if (hang) {
        Duration length = Duration.ofMillis(1000 + random.nextLong(30_000));
        cluster.workers().stream()
            .filter(worker -> worker.runningTasks().stream().anyMatch(task -> task.startsWith(id)))
            .limit(2)
            .forEach(worker -> worker.hang(length));
      }
    }
  }

  private void someWorkers(Consumer<FakeWorker> what) {
    for (FakeWorker worker : List.copyOf(cluster.workers())) {
      if (random.nextInt(3) == 0) {
        what.accept(worker);
      }
    }
  }

  private Optional<FakeWorker> anyWorker() {
    return cluster.workers().isEmpty()
        ? Optional.empty()
        : cluster.workers().stream().skip(random.nextInt(cluster.workers().size())).findFirst();
  }

  private String anyZone() {
    return SimulatedCluster.ZONES.get(random.nextInt(SimulatedCluster.ZONES.size()));
  }

  private static String host(FakeWorker worker) {
    return worker.machine().host();
  }

  private void later(Duration delay, Runnable task) {
    cluster.time().schedule(delay, task);
  }
}
