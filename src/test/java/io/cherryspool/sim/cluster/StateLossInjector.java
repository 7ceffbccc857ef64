package io.cherryspool.sim.cluster;

import io.cherryspool.sim.fakes.FakeStateStore;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Makes the state store lose its data repeatedly, each time with up to two other faults at about
 * the same time. It crashes no processes: if a process crashed shortly before a loss, changes that
 * it had just confirmed to users might be known to no other process; see docs/recovery.md.
 */
final class StateLossInjector {
  /**
   * The number of backups to keep. One backup is taken each second, so this is also the maximum age
   * in seconds of a backup that is restored.
   */
  private static final int MAX_BACKUPS = 120;

  private static final int FAULT_KINDS = 14;

  private final SimulatedCluster cluster;
  private final SplittableRandom random;
  private final double endS;
  private final Deque<FakeStateStore.Backup> backups = new ArrayDeque<>();

  /**
   * Creates the state loss injector.
   *
   * @param endS the time in seconds after which no new loss is started
   */
  StateLossInjector(SimulatedCluster cluster, double endS) {
    this.cluster = cluster;
    this.random = cluster.random().split();
    this.endS = endS;
  }

  void start() {
    cluster.schedule(20, this::takeBackup);
    cluster.schedule(28, this::injectNextLoss);
  }

  private void takeBackup() {
    backups.addFirst(cluster.stateStore().backup());
    if (backups.size() > MAX_BACKUPS) {
      backups.removeLast();
    }
    cluster.schedule(1, this::takeBackup);
  }

  private void injectNextLoss() {
    if (cluster.time().seconds() > endS) {
      return;
    }
    cluster.schedule(25 + random.nextDouble() * 35, this::injectNextLoss);
    for (int i = random.nextInt(3); i > 0; i--) {
      cluster.schedule(random.nextDouble() * 4, this::injectAccompanyingFault);
    }
    cluster.schedule(random.nextDouble() * 5, this::injectStateLoss);
    if (random.nextInt(4) == 0) {
      cluster.schedule(5 + random.nextDouble() * 4, this::injectStateLoss);
    }
  }

  private void injectStateLoss() {
    List<FakeStateStore.Backup> backupList = new ArrayList<>(backups);
    if (random.nextBoolean() || backupList.isEmpty()) {
      cluster.stateStore().loseAllData();
    } else {
      int index = random.nextBoolean() ? random.nextInt(Math.min(4, backupList.size())) : 0;
      cluster
          .stateStore()
          .restore(backupList.get(index == 0 ? random.nextInt(backupList.size()) : index));
    }
    // The backups were taken before this loss, and later losses must not restore them.
    backups.clear();
  }

  /** Injects another fault of a random kind at about the time of a loss. */
  private void injectAccompanyingFault() {
    Duration length = Duration.ofMillis(500 + random.nextLong(9000));
    SimulatedController node = cluster.nodes().get(random.nextInt(cluster.nodes().size()));
    SimulatedController leader = cluster.currentLeader().orElse(node);
    int kind = random.nextInt(FAULT_KINDS);
    injectNodeFault(kind, node, leader, length);
    injectOtherFault(kind, length);
  }

  /**
   * Injects the fault if its kind affects controllers, their links or the heartbeats between them.
   */
  private void injectNodeFault(
      int kind, SimulatedController node, SimulatedController leader, Duration length) {
    switch (kind) {
      case 1 -> node.cutFromStateStore(length);
      case 2 -> leader.rejectStateStoreRequests(length);
      case 3 -> node.isolate(length);
      case 4 -> node.freeze(length);
      case 5 -> leader.freeze(Duration.ofMillis(300 + random.nextLong(5000)));
      case 6 -> {
        cluster.setMeshDown(true);
        cluster.time().schedule(length, () -> cluster.setMeshDown(false));
      }
      case 7 -> cluster.network().cutZone(node.zone(), length);
      default -> {
        // Another method injects this kind.
      }
    }
  }

  /**
   * Injects the fault if its kind affects the state store or machines, or is a burst of user
   * requests.
   */
  private void injectOtherFault(int kind, Duration length) {
    switch (kind) {
      case 0 -> cluster.takeStateStoreDown(length);
      case 8 -> {
        cluster.stateStore().delayCommits(0.3 + random.nextDouble() / 2);
        cluster.time().schedule(length, () -> cluster.stateStore().delayCommits(0));
      }
      case 9 -> {
        cluster.stateStore().loseReplies(0.3 + random.nextDouble() / 2);
        cluster.time().schedule(length, () -> cluster.stateStore().loseReplies(0));
      }
      case 10 -> {
        cluster.stateStore().delayReplies(900);
        cluster.time().schedule(length, () -> cluster.stateStore().delayReplies(0));
      }
      case 11 ->
          cluster.workers().stream()
              .skip(random.nextInt(Math.max(1, cluster.workers().size())))
              .findFirst()
              .ifPresent(worker -> worker.hang(length));
      case 12 ->
          cluster.workers().stream()
              .skip(random.nextInt(Math.max(1, cluster.workers().size())))
              .findFirst()
              .ifPresent(worker -> cluster.network().dropInbound(worker.machine().host(), length));
      case 13 -> {
        cluster.users().setBurstAfterStatusChange(true);
        cluster.time().schedule(length, () -> cluster.users().setBurstAfterStatusChange(false));
      }
      default -> {
        // Another method injects this kind.
      }
    }
  }
}
