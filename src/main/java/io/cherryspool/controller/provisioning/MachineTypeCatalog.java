package io.cherryspool.controller.provisioning;

import io.cherryspool.cloud.CloudClient;
import io.cherryspool.lifecycle.EventLoop;
import io.cherryspool.lifecycle.Lifecycle;
import io.cherryspool.model.MachineType;
import io.cherryspool.store.ClusterRecords;
import io.cherryspool.store.RateLimiter;
import io.cherryspool.store.Records;
import io.cherryspool.store.StateStoreClient;
import io.cherryspool.wire.CloudProtocol;
import io.cherryspool.wire.StateStoreProtocol;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The machine types on offer: read from the cloud, or while that does not answer as a leader last
 * recorded them, so that a restarted node can accept jobs during an outage of the cloud. Used on
 * the event loop only.
 */
public final class MachineTypeCatalog implements Lifecycle {
  private static final Logger LOG = LoggerFactory.getLogger(MachineTypeCatalog.class);
  private static final Duration REFRESH_INTERVAL = Duration.ofSeconds(30);
  private static final Duration RETRY_PAUSE = Duration.ofSeconds(2);

  private final EventLoop loop;
  private final CloudClient cloud;
  private final ClusterRecords records;
  private final StateStoreClient client;
  private final RateLimiter rateLimiter;
  private final BooleanSupplier isLeader;

  /** As the cloud last gave them, null before it did. */
  private List<MachineType> fetched;

  private EventLoop.Timer timer;

  /**
   * Creates the machine type catalog.
   *
   * @param isLeader whether this node may record the machine types
   */
  public MachineTypeCatalog(
      EventLoop loop,
      CloudClient cloud,
      ClusterRecords records,
      StateStoreClient client,
      RateLimiter rateLimiter,
      BooleanSupplier isLeader) {
    this.loop = loop;
    this.cloud = cloud;
    this.records = records;
    this.client = client;
    this.rateLimiter = rateLimiter;
    this.isLeader = isLeader;
  }

  @Override
  public void start() {
    fetch();
  }

  @Override
  public void stop() {
    if (timer != null) {
      timer.cancel();
    }
  }

  /** The machine types, null while neither the cloud nor the records have given them. */
  public List<MachineType> types() {
    return fetched != null ? fetched : records.catalog();
  }

  private void fetch() {
    cloud
        .fetchMachineTypes()
        .whenComplete(
            (types, failure) -> {
              if (failure == null) {
                if (fetched == null) {
                  LOG.info("the cloud offers {} machine types", types.size());
                }
                fetched = types;
                recordIfChanged();
              } else {
                LOG.debug("reading the machine types failed: {}", failure.toString());
              }
              timer = loop.schedule(failure == null ? REFRESH_INTERVAL : RETRY_PAUSE, this::fetch);
            });
  }

  private void recordIfChanged() {
    List<MachineType> recorded = records.catalog();
    if (!isLeader.getAsBoolean()) {
      return;
    }
    if (recorded != null && areSameButPrices(recorded, fetched)) {
      return;
    }
    Map<String, Long> conditions =
        Map.of(Records.TERM, records.termVersion(), Records.CATALOG, records.catalogVersion());
    rateLimiter.forceAcquire(1);
    client
        .commit(
            conditions,
            List.of(
                new StateStoreProtocol.Change(
                    Records.CATALOG, CloudProtocol.encodeCatalog(fetched), 0)))
        .exceptionally(failure -> null);
  }

  /** Spot prices move all the time and are not worth a write. */
  private static boolean areSameButPrices(List<MachineType> one, List<MachineType> other) {
    if (one.size() != other.size()) {
      return false;
    }
    for (int i = 0; i < one.size(); i++) {
      MachineType a = one.get(i);
      MachineType b = other.get(i);
      if (!a.name().equals(b.name())
          || !a.capacity().equals(b.capacity())
          || !a.zones().equals(b.zones())) {
        return false;
      }
    }
    return true;
  }
}
