package io.cherryspool.recovery;

import io.cherryspool.store.Incarnation;
import io.cherryspool.wire.StateStoreProtocol;
import java.util.random.RandomGenerator;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Writes the first incarnation's record where no node retains any records. Records without an
 * identity are those of an installation that did not detect losses; without any, a worker that has
 * served tells a loss from a first installation. Confined to the event loop.
 */
final class FirstInstallation {
  private static final Logger LOG = LoggerFactory.getLogger(FirstInstallation.class);

  private final RecoveryStore store;
  private final RandomGenerator random;
  private final ClusterNode node;
  private boolean isPending;

  /**
   * An installation that has not begun.
   *
   * @param random draws the name of the cluster
   */
  FirstInstallation(RecoveryStore store, RandomGenerator random, ClusterNode node) {
    this.store = store;
    this.random = random;
    this.node = node;
  }

  /** Whether a request of an installation is under way. */
  boolean isPending() {
    return isPending;
  }

  /**
   * Installs, unless the store is empty although workers have served. After a failed request
   * nothing happens; the caller tries again.
   *
   * @param onAllRecordsLost called instead of installing
   */
  void begin(Runnable onAllRecordsLost) {
    isPending = true;
    store
        .readFirstPage()
        .whenComplete(
            (page, failure) -> {
              isPending = false;
              if (failure == null) {
                decide(page, onAllRecordsLost);
              }
            });
  }

  private void decide(StateStoreProtocol.KeyPage page, Runnable onAllRecordsLost) {
    if (page.entries().isEmpty() && node.hasWorkerReportedToken()) {
      LOG.warn("the state store is empty, and workers have served: all records are lost");
      onAllRecordsLost.run();
    } else {
      install();
    }
  }

  private void install() {
    Incarnation first = Incarnation.firstInstallation(Long.toHexString(random.nextLong()));
    LOG.info("first installation: cluster={}", first.cluster());
    isPending = true;
    store.replaceIncarnation(first, 0).whenComplete((result, failure) -> isPending = false);
  }
}
