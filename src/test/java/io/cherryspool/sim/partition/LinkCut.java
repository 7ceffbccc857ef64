package io.cherryspool.sim.partition;

import io.cherryspool.sim.cluster.SimulatedCluster;
import io.cherryspool.sim.cluster.SimulatedController;
import io.cherryspool.sim.fakes.FakeWorker;
import io.cherryspool.sim.network.LinkFaults;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/**
 * One cell of the table in docs/partitions.md: what a controller loses at once, and in which
 * direction.
 */
record LinkCut(StateLink state, boolean peers, Workers workers, Way way) {

  /** The link to the state store. */
  enum StateLink {
    UP,
    /** The service refuses this node alone. */
    REFUSED,
    /** No answer comes; what was sent arrives when the cut ends. */
    SILENT
  }

  /** The workers that are cut off. */
  enum Workers {
    NONE,
    ONE_ZONE,
    MOST,
    ALL
  }

  /** Which direction between the node and its workers and peers fails. */
  enum Way {
    TO_NODE,
    FROM_NODE,
    BOTH
  }

  /** All cells but the one in which nothing fails. */
  static List<LinkCut> all() {
    List<LinkCut> result = new ArrayList<>();
    for (StateLink state : StateLink.values()) {
      for (boolean peers : new boolean[] {false, true}) {
        for (Workers workers : Workers.values()) {
          for (Way way : Way.values()) {
            boolean directed = peers || workers != Workers.NONE;
            boolean nothing = state == StateLink.UP && !directed;
            if (!nothing && (directed || way == Way.BOTH)) {
              result.add(new LinkCut(state, peers, workers, way));
            }
          }
        }
      }
    }
    return result;
  }

  /** Brings the cut about for this node. */
  void apply(
      SimulatedCluster cluster, SimulatedController node, LinkFaults.Mode mode, Duration length) {
    switch (state) {
      case REFUSED -> node.rejectStateStoreRequests(length);
      case SILENT -> node.cutFromStateStore(length);
      default -> {
        // Nothing of it fails.
      }
    }
    String own = node.address().host();
    if (peers) {
      for (SimulatedController other : cluster.nodes()) {
        if (other != node) {
          fail(cluster, own, other.address().host(), mode, length);
        }
      }
    }
    int number = 0;
    for (FakeWorker worker : cluster.workers()) {
      if (cuts(worker, node, number++)) {
        fail(cluster, own, worker.machine().host(), mode, length);
      }
    }
  }

  private boolean cuts(FakeWorker worker, SimulatedController node, int number) {
    return switch (workers) {
      case NONE -> false;
      case ONE_ZONE -> worker.machine().zone().equals(node.zone());
      case MOST -> number % 4 != 0;
      case ALL -> true;
    };
  }

  private void fail(
      SimulatedCluster cluster, String own, String other, LinkFaults.Mode mode, Duration length) {
    if (way != Way.FROM_NODE) {
      cluster.network().linkFaults().fail(other, own, mode, length);
    }
    if (way != Way.TO_NODE) {
      cluster.network().linkFaults().fail(own, other, mode, length);
    }
  }
}
