package io.cherryspool.recovery;

import io.cherryspool.store.RollbackDetector;
import java.time.Duration;
import java.util.Optional;

/** Counts of what a node's recovery has seen and done, for metrics and the status. */
public final class RecoveryStatistics {
  private int losses;
  private int rebuilds;
  private int addedRecords;
  private RollbackDetector.Loss lastLoss;
  private Duration lastHold = Duration.ZERO;
  private boolean hasFoundOtherCluster;

  void lost(RollbackDetector.Loss loss) {
    losses++;
    lastLoss = loss;
  }

  void rebuilding() {
    rebuilds++;
  }

  void addedRecords(int records) {
    addedRecords += records;
  }

  void foreignFound() {
    hasFoundOtherCluster = true;
  }

  void serving(Duration held) {
    lastHold = held;
    hasFoundOtherCluster = false;
  }

  /** How often this node has seen a loss. */
  public int losses() {
    return losses;
  }

  /** How often it has begun to rebuild. */
  public int rebuilds() {
    return rebuilds;
  }

  /** Records that it added after a rebuild that did not know them. */
  public int addedRecords() {
    return addedRecords;
  }

  /** How the last loss showed, empty if there was none. */
  public Optional<RollbackDetector.Loss> lastLoss() {
    return Optional.ofNullable(lastLoss);
  }

  /** How long this node did not serve when it last did not. */
  public Duration lastHold() {
    return lastHold;
  }

  /** Whether the state service holds another cluster's records. */
  public boolean hasFoundOtherCluster() {
    return hasFoundOtherCluster;
  }
}
