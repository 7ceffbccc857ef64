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

/** Injects random faults of all kinds into a cluster, one to three at a time. */
final class FaultInjector {
  private static final int FAULT_KINDS = 37;

  private final SimulatedCluster cluster;
  private final SplittableRandom random;
  private final double endS;
  private final Runnable submitGuestJobs;

  /**
   * Creates the fault injector.
   *
   * @param endS the time in seconds after which no new group of faults starts
   * @param submitGuestJobs submits jobs of a team without a guaranteed quota
   */
  FaultInjector(SimulatedCluster cluster, double endS, Runnable submitGuestJobs) {
    this.cluster = cluster;
    this.random = cluster.random().split();
    this.endS = endS;
    this.submitGuestJobs = submitGuestJobs;
  }

  void start() {
    cluster.schedule(20, this::injectNextFaults);
    cluster.stateStore().onPut(this::replayHeartbeatsToNewLeader);
  }

  private void injectNextFaults() {
    if (cluster.time().seconds() > endS) {
      return;
    }
    cluster.schedule(3 + random.nextDouble() * 20, this::injectNextFaults);
    // In a third of the cases one or two more faults follow within 6 s, since most violations occur
    // when faults coincide.
    for (int extra = random.nextInt(6); extra > 3; extra--) {
      cluster.schedule(random.nextDouble() * 6, this::injectRandomFault);
    }
    injectRandomFault();
  }

  /** Replays the recorded heartbeats to all controllers when a new leader writes its key. */
  private void replayHeartbeatsToNewLeader(String key) {
    if (key.equals("c/leader")) {
      List<Endpoint> controllers =
          cluster.nodes().stream().map(SimulatedController::address).toList();
      List.of(0, 4, 12, 40)
          .forEach(
              delayMs ->
                  cluster.schedule(
                      delayMs / 1e3, () -> cluster.network().replayHeartbeats(controllers)));
      cluster.schedule(0.05, cluster.network()::discardRecordedHeartbeats);
    }
  }

  /** Injects one random fault. Renumbering the kinds would change the faults of each seed. */
  private void injectRandomFault() {
    Duration length = Duration.ofMillis(2000 + random.nextLong(25_000));
    SimulatedController node = cluster.nodes().get(random.nextInt(cluster.nodes().size()));
    SimulatedController leader = cluster.currentLeader().orElse(node);
    int kind = random.nextInt(FAULT_KINDS);
    injectControllerFault(kind, node, leader, length);
    injectServiceFault(kind, node, leader, length);
    injectWorkerFault(kind, node, length);
    injectNetworkFault(kind, length);
    injectLoad(kind, length);
  }

  /** Injects the fault if its kind affects controllers or the heartbeats between them. */
  private void injectControllerFault(
      int kind, SimulatedController node, SimulatedController leader, Duration length) {
    switch (kind) {
      case 0 -> node.crash(Duration.ofMillis(200 + random.nextLong(8000)));
      case 1 ->
          cluster
              .nodes()
              .forEach(each -> each.crash(Duration.ofMillis(500 + random.nextLong(8000))));
      case 10 -> node.isolate(length);
      case 11 -> {
        // Restarts within 0.5 s, then crashes again, possibly during the following election.
        node.crash(Duration.ofMillis(50 + random.nextLong(400)));
        cluster.schedule(0.5 + random.nextDouble(), () -> node.crash(Duration.ofMillis(100)));
      }
      case 12 -> leader.isolate(length);
      case 13 -> node.freeze(length);
      case 14 -> leader.freeze(Duration.ofMillis(500 + random.nextLong(40_000)));
      case 16 -> {
        cluster.setMeshDown(true);
        scheduleAfter(length, () -> cluster.setMeshDown(false));
      }
      case 17 -> {
        for (int i = 0; i < cluster.nodes().size(); i++) {
          SimulatedController each = cluster.nodes().get(i);
          cluster.schedule(6 * i, () -> each.crash(Duration.ofMillis(200 + random.nextLong(6000))));
        }
      }
      case 23 -> node.crash(Duration.ofMillis(12_000 + random.nextLong(78_000)));
      default -> {
        // Another method injects this kind.
      }
    }
  }

  /** Injects the fault if its kind affects the state store or the cloud. */
  private void injectServiceFault(
      int kind, SimulatedController node, SimulatedController leader, Duration length) {
    switch (kind) {
      case 2 -> cluster.takeStateStoreDown(length);
      case 3 -> {
        cluster.cloud().setDown(true);
        scheduleAfter(length, () -> cluster.cloud().setDown(false));
      }
      case 4 -> node.cutFromStateStore(length);
      case 18 -> {
        cluster.stateStore().delayCommits(0.1 + random.nextDouble() / 2);
        scheduleAfter(length, () -> cluster.stateStore().delayCommits(0));
      }
      case 19 -> node.rejectStateStoreRequests(length);
      case 20 -> leader.rejectStateStoreRequests(length);
      case 25 -> {
        cluster.stateStore().loseReplies(0.1 + random.nextDouble() / 2);
        scheduleAfter(length, () -> cluster.stateStore().loseReplies(0));
      }
      case 32 -> rejectLeaderThenTakeStateStoreDown(leader);
      case 33 -> {
        cluster.cloud().setFastBoot(true);
        scheduleAfter(length.multipliedBy(2), () -> cluster.cloud().setFastBoot(false));
      }
      case 34 -> {
        cluster.stateStore().delayReplies(1500);
        scheduleAfter(length, () -> cluster.stateStore().delayReplies(0));
      }
      default -> {
        // Another method injects this kind.
      }
    }
  }

  /** Injects the fault if its kind affects machines or their links. */
  private void injectWorkerFault(int kind, SimulatedController node, Duration length) {
    switch (kind) {
      case 5 -> {
        for (FakeCloud.Machine machine : cluster.cloud().runningMachines()) {
          if (random.nextInt(3) > 0) {
            cluster.network().cut(node.address().host(), machine.host(), length);
          }
        }
      }
      case 6 -> randomWorker().ifPresent(worker -> worker.hang(length));
      case 7 -> randomWorker().ifPresent(FakeWorker::kill);
      case 8 ->
          randomWorker()
              .ifPresent(
                  worker -> {
                    worker.setPreemptionNotice(6);
                    cluster.schedule(6, () -> cluster.cloud().terminate(worker.machine().name()));
                  });
      case 9 ->
          randomWorker().ifPresent(worker -> cluster.network().dropInbound(host(worker), length));
      case 24 -> randomWorker().ifPresent(worker -> worker.failTasksFor(length.multipliedBy(3)));
      case 27 -> forRandomWorkers(worker -> cluster.network().dropOutbound(host(worker), length));
      case 28 -> forRandomWorkers(worker -> cluster.network().dropInbound(host(worker), length));
      default -> {
        // Another method injects this kind.
      }
    }
  }

  /**
   * Injects the fault if its kind affects the network, or records heartbeats for a later replay.
   */
  private void injectNetworkFault(int kind, Duration length) {
    switch (kind) {
      case 15 ->
          cluster
              .network()
              .cutZone(randomZone(), Duration.ofMillis(5000 + random.nextLong(45_000)));
      case 26 -> cluster.network().recordHeartbeats();
      case 35 -> {
        cluster.network().setMaxExtraDelay(600);
        scheduleAfter(length, () -> cluster.network().setMaxExtraDelay(0));
      }
      case 36 -> {
        String zone = randomZone();
        for (SimulatedController controller : cluster.nodes()) {
          for (FakeCloud.Machine machine : cluster.cloud().runningMachines()) {
            if (machine.zone().equals(zone) != controller.zone().equals(zone)) {
              cluster.network().cut(controller.address().host(), machine.host(), length);
            }
          }
        }
      }
      default -> {
        // Another method injects this kind.
      }
    }
  }

  /** Injects the fault if its kind adds load: additional requests, jobs or cancels of users. */
  private void injectLoad(int kind, Duration length) {
    switch (kind) {
      case 21 -> {
        cluster.users().setPollingFactor(8);
        scheduleAfter(length, () -> cluster.users().setPollingFactor(1));
      }
      case 22 -> submitGuestJobs.run();
      case 29 -> cancelRunningJobs();
      case 30 -> {
        cluster.users().setCancelAtEndShare(0.5);
        scheduleAfter(length, () -> cluster.users().setCancelAtEndShare(0));
      }
      case 31 -> {
        cluster.users().setBurstAfterStatusChange(true);
        scheduleAfter(length, () -> cluster.users().setBurstAfterStatusChange(false));
      }
      default -> {
        // Another method injects this kind.
      }
    }
  }

  /**
   * Makes the state store reject the requests of the leader only, cancels running jobs, and then
   * takes the state store down for longer than the cancel limit.
   */
  private void rejectLeaderThenTakeStateStoreDown(SimulatedController leader) {
    leader.rejectStateStoreRequests(Duration.ofSeconds(14));
    double pause = 0.2 + random.nextDouble() * 6;
    cluster.schedule(random.nextDouble() * pause, this::cancelRunningJobs);
    cluster.schedule(
        pause,
        () ->
            cluster.takeStateStoreDown(
                SimulatedCluster.CANCEL_LIMIT.plus(Duration.ofMillis(random.nextLong(15_000)))));
  }

  /**
   * Cancels up to four of the running jobs within 0.2 s. With a probability of one half, up to two
   * machines of each of these jobs also hang for 1 to 31 s.
   */
  private void cancelRunningJobs() {
    List<String> ids =
        cluster.workers().stream()
            .flatMap(worker -> worker.runningTasks().stream())
            .map(task -> task.substring(0, task.lastIndexOf('/')))
            .distinct()
            .filter(id -> !cluster.rules().isCancelRequested(id))
            .sorted(Comparator.reverseOrder())
            .limit(1 + random.nextInt(4))
            .toList();
    boolean shouldHangWorkers = random.nextBoolean();
    for (String id : ids) {
      cluster.schedule(random.nextDouble() / 5, () -> cluster.users().cancel(id));
      if (shouldHangWorkers) {
        Duration length = Duration.ofMillis(1000 + random.nextLong(30_000));
        cluster.workers().stream()
            .filter(worker -> worker.runningTasks().stream().anyMatch(task -> task.startsWith(id)))
            .limit(2)
            .forEach(worker -> worker.hang(length));
      }
    }
  }

  private void forRandomWorkers(Consumer<FakeWorker> action) {
    for (FakeWorker worker : List.copyOf(cluster.workers())) {
      if (random.nextInt(3) == 0) {
        action.accept(worker);
      }
    }
  }

  private Optional<FakeWorker> randomWorker() {
    return cluster.workers().isEmpty()
        ? Optional.empty()
        : cluster.workers().stream().skip(random.nextInt(cluster.workers().size())).findFirst();
  }

  private String randomZone() {
    return SimulatedCluster.ZONES.get(random.nextInt(SimulatedCluster.ZONES.size()));
  }

  private static String host(FakeWorker worker) {
    return worker.machine().host();
  }

  private void scheduleAfter(Duration delay, Runnable task) {
    cluster.time().schedule(delay, task);
  }
}
