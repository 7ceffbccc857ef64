package io.cherryspool.sim.partition;

import io.cherryspool.sim.cluster.SimulatedCluster;
import io.cherryspool.sim.cluster.SimulatedController;
import io.cherryspool.sim.fakes.FakeWorker;
import io.cherryspool.sim.network.LinkFaults;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/**
 * One cell of the table in docs/partitions.md: the links of a controller that fail at the same
 * time, and the direction in which they fail.
 */
record LinkCut(
    StateStoreLink stateStoreLink, boolean cutsPeers, CutWorkers workers, Direction direction) {

  /** The condition of the link to the state store. */
  enum StateStoreLink {
    UP,
    /** The state store answers 503 to the requests of this node, and serves all other nodes. */
    REFUSED,
    /** Messages between the node and the state store arrive only when the cut ends. */
    SILENT
  }

  /** The workers whose links to the node fail. */
  enum CutWorkers {
    NONE,
    /** The workers in the node's own zone. */
    ONE_ZONE,
    /** Three of four workers. */
    MOST,
    ALL
  }

  /** The direction in which the node's links to workers and peers fail. */
  enum Direction {
    TO_NODE,
    FROM_NODE,
    BOTH
  }

  /**
   * Returns all cells except the one in which nothing fails. A cell in which only the link to the
   * state store fails is listed once, with both directions.
   */
  static List<LinkCut> all() {
    List<LinkCut> cuts = new ArrayList<>();
    for (StateStoreLink stateStoreLink : StateStoreLink.values()) {
      for (boolean cutsPeers : new boolean[] {false, true}) {
        for (CutWorkers workers : CutWorkers.values()) {
          for (Direction direction : Direction.values()) {
            boolean hasDirection = cutsPeers || workers != CutWorkers.NONE;
            boolean isEmpty = stateStoreLink == StateStoreLink.UP && !hasDirection;
            if (!isEmpty && (hasDirection || direction == Direction.BOTH)) {
              cuts.add(new LinkCut(stateStoreLink, cutsPeers, workers, direction));
            }
          }
        }
      }
    }
    return cuts;
  }

  /**
   * Makes the links of this node fail.
   *
   * @param mode how the links to workers and peers fail
   */
  void apply(
      SimulatedCluster cluster, SimulatedController node, LinkFaults.Mode mode, Duration duration) {
    switch (stateStoreLink) {
      case REFUSED -> node.rejectStateStoreRequests(duration);
      case SILENT -> node.cutFromStateStore(duration);
      default -> {
        // The link to the state store does not fail.
      }
    }
    String nodeHost = node.address().host();
    if (cutsPeers) {
      for (SimulatedController other : cluster.nodes()) {
        if (other != node) {
          failLink(cluster, nodeHost, other.address().host(), mode, duration);
        }
      }
    }
    int index = 0;
    for (FakeWorker worker : cluster.workers()) {
      if (isCutOff(worker, node, index++)) {
        failLink(cluster, nodeHost, worker.machine().host(), mode, duration);
      }
    }
  }

  private boolean isCutOff(FakeWorker worker, SimulatedController node, int index) {
    return switch (workers) {
      case NONE -> false;
      case ONE_ZONE -> worker.machine().zone().equals(node.zone());
      case MOST -> index % 4 != 0;
      case ALL -> true;
    };
  }

  private void failLink(
      SimulatedCluster cluster,
      String nodeHost,
      String otherHost,
      LinkFaults.Mode mode,
      Duration duration) {
    if (direction != Direction.FROM_NODE) {
      cluster.network().linkFaults().fail(otherHost, nodeHost, mode, duration);
    }
    if (direction != Direction.TO_NODE) {
      cluster.network().linkFaults().fail(nodeHost, otherHost, mode, duration);
    }
  }
}
