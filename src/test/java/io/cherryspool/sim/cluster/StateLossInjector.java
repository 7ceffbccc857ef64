package io.cherryspool.sim.cluster;

import io.cherryspool.sim.fakes.FakeStateStore;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Makes the state store lose its data again and again, each time with one or two other faults
 * around the same moment. No process ends within the last moments before a loss, since it alone may
 * know what it confirmed to its users in them; docs/recovery.md says so.
 */
final class StateLossInjector {
  /** How far back the service may be set. */
  private static final int SAVED = 120;

  private static final int KINDS = 14;

  private final SimulatedCluster cluster;
  private final SplittableRandom random;
  private final double end;
  private final Deque<FakeStateStore.Backup> saved = new ArrayDeque<>();

  /**
   * Creates the state loss injector.
   *
   * @param end when the last may begin, in seconds
   */
  StateLossInjector(SimulatedCluster cluster, double end) {
    this.cluster = cluster;
    this.random = cluster.random().split();
    this.end = end;
  }

  void begin() {
    cluster.schedule(20, this::save);
    cluster.schedule(28, this::strike);
  }

  private void save() {
    saved.addFirst(cluster.stateStore().backup());
    if (saved.size() > SAVED) {
      saved.removeLast();
    }
    cluster.schedule(1, this::save);
  }

  private void strike() {
    if (cluster.time().seconds() > end) {
      return;
    }
    cluster.schedule(25 + random.nextDouble() * 35, this::strike);
    for (int i = random.nextInt(3); i > 0; i--) {
      cluster.schedule(random.nextDouble() * 4, this::companion);
    }
    cluster.schedule(random.nextDouble() * 5, this::lose);
    if (random.nextInt(4) == 0) {
      cluster.schedule(5 + random.nextDouble() * 4, this::lose);
    }
  }

  private void lose() {
    List<FakeStateStore.Backup> all = new ArrayList<>(saved);
    if (random.nextBoolean() || all.isEmpty()) {
      cluster.stateStore().loseAllData();
    } else {
      int back = random.nextBoolean() ? random.nextInt(Math.min(4, all.size())) : 0;
      cluster.stateStore().restore(all.get(back == 0 ? random.nextInt(all.size()) : back));
    }
    // What was saved is of a history that is over.
    saved.clear();
  }

  /** Another fault of a random kind, around the moment of a loss. */
  private void companion() {
    Duration length = Duration.ofMillis(500 + random.nextLong(9000));
    SimulatedController node = cluster.nodes().get(random.nextInt(cluster.nodes().size()));
    SimulatedController leader = cluster.currentLeader().orElse(node);
    int kind = random.nextInt(KINDS);
    injectNodeFault(kind, node, leader, length);
    injectOtherFault(kind, length);
  }

  /** Faults of controllers, their links and the heartbeats between them. */
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
        // A fault of another group.
      }
    }
  }

  /** Faults of the state store and of machines, and users who look closely. */
  private void injectOtherFault(int kind, Duration length) {
    switch (kind) {
      case 0 -> cluster.stateStoreOutage(length);
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
        // A fault of another group.
      }
    }
  }
}
