package io.cherryspool.recovery;

import io.cherryspool.store.RollbackDetector;
import java.time.Duration;
import java.util.Optional;

/**
 * Counts of what a node's recovery has detected and done, for metrics and the status. Confined to
 * the event loop.
 */
public final class RecoveryStatistics {
  private int losses;
  private int rebuilds;
  private int addedRecords;
  private Optional<RollbackDetector.Loss> lastLoss = Optional.empty();
  private Duration lastHold = Duration.ZERO;
  private boolean hasFoundOtherCluster;

  void recordLoss(RollbackDetector.Loss loss) {
    losses++;
    lastLoss = Optional.of(loss);
  }

  void countRebuild() {
    rebuilds++;
  }

  void countAddedRecords(int records) {
    addedRecords += records;
  }

  void recordOtherCluster() {
    hasFoundOtherCluster = true;
  }

  /**
   * Records that the node serves again.
   *
   * @param held for how long the node did not serve before
   */
  void recordServing(Duration held) {
    lastHold = held;
    hasFoundOtherCluster = false;
  }

  /** How many losses this node has detected since it started. */
  public int losses() {
    return losses;
  }

  /** How many rebuilds it has begun. */
  public int rebuilds() {
    return rebuilds;
  }

  /** How many records it has added after rebuilds that lacked them. */
  public int addedRecords() {
    return addedRecords;
  }

  /** The sign by which the last loss was detected; empty if there was none. */
  public Optional<RollbackDetector.Loss> lastLoss() {
    return lastLoss;
  }

  /** How long this node did not serve when it last did not; zero before it first served. */
  public Duration lastHold() {
    return lastHold;
  }

  /** Whether the state store holds the records of another cluster. */
  public boolean hasFoundOtherCluster() {
    return hasFoundOtherCluster;
  }
}
