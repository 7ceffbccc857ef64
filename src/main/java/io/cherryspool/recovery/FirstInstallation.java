package io.cherryspool.recovery;

import io.cherryspool.store.Incarnation;
import io.cherryspool.wire.StateStoreProtocol;
import java.util.random.RandomGenerator;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Writes the identity record of the first incarnation if no node retains any records. Records
 * without an identity record belong to an installation that did not detect losses, and are kept. If
 * there are no records at all, a worker that has reported a fencing token shows that this is a data
 * loss and not a first installation. Confined to the event loop.
 */
final class FirstInstallation {
  private static final Logger LOG = LoggerFactory.getLogger(FirstInstallation.class);

  private final RecoveryStore store;
  private final RandomGenerator random;
  private final ClusterNode node;
  private boolean isPending;

  /**
   * Creates an installation that begins with {@link #begin}.
   *
   * @param random generates the id of the cluster
   */
  FirstInstallation(RecoveryStore store, RandomGenerator random, ClusterNode node) {
    this.store = store;
    this.random = random;
    this.node = node;
  }

  /** Whether a request of the installation is outstanding. */
  boolean isPending() {
    return isPending;
  }

  /**
   * Writes the identity record, unless the state store is empty and a worker has reported a fencing
   * token. A failed request is not retried; the caller calls again.
   *
   * @param onAllRecordsLost called instead if the state store is empty and a worker has reported a
   *     fencing token
   */
  void begin(Runnable onAllRecordsLost) {
    isPending = true;
    store
        .readFirstPage()
        .whenComplete(
            (page, failure) -> {
              isPending = false;
              if (failure == null) {
                installUnlessRecordsLost(page, onAllRecordsLost);
              }
            });
  }

  private void installUnlessRecordsLost(
      StateStoreProtocol.KeyPage page, Runnable onAllRecordsLost) {
    if (page.entries().isEmpty() && node.hasWorkerReportedToken()) {
      LOG.warn(
          "the state store is empty, but a worker has reported a fencing token: all records are lost");
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
