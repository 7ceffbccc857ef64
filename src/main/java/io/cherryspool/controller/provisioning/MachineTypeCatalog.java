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
 * Knows the machine types: from the cloud, or while the cloud is silent as a leader last recorded
 * them, so that a restarted node can accept jobs during an outage of the cloud.
 */
public final class MachineTypeCatalog implements Lifecycle {
  private static final Logger LOG = LoggerFactory.getLogger(MachineTypeCatalog.class);
  private static final Duration RENEW = Duration.ofSeconds(30);
  private static final Duration RETRY = Duration.ofSeconds(2);

  private final EventLoop loop;
  private final CloudClient cloud;
  private final ClusterRecords replica;
  private final StateStoreClient client;
  private final RateLimiter rateLimiter;
  private final BooleanSupplier leading;
  private List<MachineType> known;
  private EventLoop.Timer timer;

  public MachineTypeCatalog(
      EventLoop loop,
      CloudClient cloud,
      ClusterRecords replica,
      StateStoreClient client,
      RateLimiter rateLimiter,
      BooleanSupplier leading) {
    this.loop = loop;
    this.cloud = cloud;
    this.replica = replica;
    this.client = client;
    this.rateLimiter = rateLimiter;
    this.leading = leading;
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

  /** The machine types, or null while nobody has told them. */
  public List<MachineType> types() {
    return known != null ? known : replica.catalog();
  }

  private void fetch() {
    cloud
        .fetchMachineTypes()
        .whenComplete(
            (types, failure) -> {
              if (failure == null) {
                if (known == null) {
                  LOG.info("the cloud has {} machine types", types.size());
                }
                known = types;
                record();
              } else {
                LOG.debug("reading the catalog failed: {}", failure.toString());
              }
              timer = loop.schedule(failure == null ? RENEW : RETRY, this::fetch);
            });
  }

  private void record() {
    if (!leading.getAsBoolean() || replica.catalog() != null && same(replica.catalog(), known)) {
      return;
    }
    Map<String, Long> conditions =
        Map.of(Records.TERM, replica.termVersion(), Records.CATALOG, replica.catalogVersion());
    rateLimiter.forceAcquire(1);
    client
        .commit(
            conditions,
            List.of(
                new StateStoreProtocol.Change(
                    Records.CATALOG, CloudProtocol.encodeCatalog(known), 0)))
        .exceptionally(failure -> null);
  }

  /** Spot prices move all the time and are not worth a write. */
  private static boolean same(List<MachineType> one, List<MachineType> other) {
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
