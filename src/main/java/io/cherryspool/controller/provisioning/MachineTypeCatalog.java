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
 * The machine types that the cloud offers. Until this node has read them from the cloud, it uses
 * the ones that a leader recorded last, so that a restarted node can accept jobs during an outage
 * of the cloud. Used on the event loop only.
 */
public final class MachineTypeCatalog implements Lifecycle {
  private static final Logger LOG = LoggerFactory.getLogger(MachineTypeCatalog.class);
  private static final Duration REFRESH_INTERVAL = Duration.ofSeconds(30);
  private static final Duration RETRY_DELAY = Duration.ofSeconds(2);

  private final EventLoop loop;
  private final CloudClient cloud;
  private final ClusterRecords records;
  private final StateStoreClient client;
  private final RateLimiter rateLimiter;
  private final BooleanSupplier isLeader;

  /** The machine types last read from the cloud, null before the first successful read. */
  private List<MachineType> fetchedTypes;

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

  /** Returns the machine types, null until they were read from the cloud or the records. */
  public List<MachineType> types() {
    return fetchedTypes != null ? fetchedTypes : records.catalog();
  }

  private void fetch() {
    cloud
        .fetchMachineTypes()
        .whenComplete(
            (types, failure) -> {
              if (failure == null) {
                if (fetchedTypes == null) {
                  LOG.info("the cloud offers {} machine types", types.size());
                }
                fetchedTypes = types;
                recordIfChanged();
              } else {
                LOG.debug("reading the machine types failed: {}", failure.toString());
              }
              timer = loop.schedule(failure == null ? REFRESH_INTERVAL : RETRY_DELAY, this::fetch);
            });
  }

  private void recordIfChanged() {
    List<MachineType> recorded = records.catalog();
    if (!isLeader.getAsBoolean()) {
      return;
    }
    if (recorded != null && areEqualIgnoringPrices(recorded, fetchedTypes)) {
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
                    Records.CATALOG, CloudProtocol.encodeCatalog(fetchedTypes), 0)))
        .exceptionally(failure -> null);
  }

  /**
   * Whether the lists are equal apart from prices. Spot prices change too often to write each
   * change to the records.
   */
  private static boolean areEqualIgnoringPrices(List<MachineType> one, List<MachineType> other) {
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
