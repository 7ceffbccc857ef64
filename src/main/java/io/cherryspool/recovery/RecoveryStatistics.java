package io.cherryspool.recovery;

import io.cherryspool.store.RollbackDetector;
import java.time.Duration;
import java.util.Optional;

/**
 * Counts what a node's recovery has detected and done, for metrics and the status command. Confined
 * to the event loop.
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
   * Records that the node has started to serve.
   *
   * @param held how long the node did not serve before
   */
  void recordServing(Duration held) {
    lastHold = held;
    hasFoundOtherCluster = false;
  }

  /** The number of losses that this node has detected since it started. */
  public int losses() {
    return losses;
  }

  /** The number of rebuilds that this node has started. */
  public int rebuilds() {
    return rebuilds;
  }

  /** The number of records that this node has added after rebuilds that lacked them. */
  public int addedRecords() {
    return addedRecords;
  }

  /** The evidence of the last loss, empty if there was none. */
  public Optional<RollbackDetector.Loss> lastLoss() {
    return lastLoss;
  }

  /**
   * How long this node did not serve before it last started to serve; zero before it first served.
   */
  public Duration lastHold() {
    return lastHold;
  }

  /** Whether the state store contains the records of another cluster. */
  public boolean hasFoundOtherCluster() {
    return hasFoundOtherCluster;
  }
}
