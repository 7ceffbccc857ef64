package io.cherryspool.sim.fakes;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;

/** The leases of a {@link FakeStateStore}. Times are those of the given clock. */
final class LeaseTable {
  private final Supplier<Duration> clock;
  private final Map<Long, Lease> leases = new HashMap<>();
  private long lastId;

  private record Lease(Duration timeToLive, Duration expiresAt) {}

  LeaseTable(Supplier<Duration> clock) {
    this.clock = clock;
  }

  /** Grants a lease and returns its id. Ids are never reused, not even after a loss of data. */
  long grant(Duration timeToLive) {
    put(++lastId, timeToLive);
    return lastId;
  }

  boolean contains(long id) {
    return leases.containsKey(id);
  }

  /** Renews the lease, which must exist, for its full time to live. */
  void renew(long id) {
    put(id, leases.get(id).timeToLive);
  }

  void renewAll() {
    leases.replaceAll((id, lease) -> newLease(lease.timeToLive));
  }

  void remove(long id) {
    leases.remove(id);
  }

  /** Returns the leases in the table that have expired. */
  List<Long> expiredIds() {
    List<Long> expiredIds = new ArrayList<>();
    leases.forEach(
        (id, lease) -> {
          if (lease.expiresAt.compareTo(clock.get()) < 0) {
            expiredIds.add(id);
          }
        });
    return expiredIds;
  }

  /** Returns the time to live of each lease by its id. */
  Map<Long, Duration> copy() {
    Map<Long, Duration> timesToLive = new HashMap<>();
    leases.forEach((id, lease) -> timesToLive.put(id, lease.timeToLive));
    return timesToLive;
  }

  /** Replaces all leases by the given ones, each with its full time to live. */
  void replaceWith(Map<Long, Duration> timesToLive) {
    leases.clear();
    timesToLive.forEach(this::put);
  }

  private void put(long id, Duration timeToLive) {
    leases.put(id, newLease(timeToLive));
  }

  private Lease newLease(Duration timeToLive) {
    return new Lease(timeToLive, clock.get().plus(timeToLive));
  }
}
