package io.cherryspool.sim.fakes;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;

/** The leases of a {@link FakeStateStore}, by the clock of its event loop. */
final class LeaseTable {
  private final Supplier<Duration> clock;
  private final Map<Long, Lease> leases = new HashMap<>();
  private long lastId;

  private record Lease(Duration timeToLive, Duration expiresAt) {}

  LeaseTable(Supplier<Duration> clock) {
    this.clock = clock;
  }

  /** Grants a lease and returns its id. An id is never used twice, whatever data is lost. */
  long grant(Duration timeToLive) {
    put(++lastId, timeToLive);
    return lastId;
  }

  boolean contains(long id) {
    return leases.containsKey(id);
  }

  /** The lease, which must exist, has its whole time to live again. */
  void renew(long id) {
    put(id, leases.get(id).timeToLive);
  }

  void renewAll() {
    leases.replaceAll((id, lease) -> renewed(lease.timeToLive));
  }

  void remove(long id) {
    leases.remove(id);
  }

  /** The leases that have run out and are still in the table. */
  List<Long> expired() {
    List<Long> expired = new ArrayList<>();
    leases.forEach(
        (id, lease) -> {
          if (lease.expiresAt.compareTo(clock.get()) < 0) {
            expired.add(id);
          }
        });
    return expired;
  }

  /** The times to live by id. */
  Map<Long, Duration> copy() {
    Map<Long, Duration> times = new HashMap<>();
    leases.forEach((id, lease) -> times.put(id, lease.timeToLive));
    return times;
  }

  /** These leases alone exist from now on, each with its whole time to live. */
  void replaceWith(Map<Long, Duration> times) {
    leases.clear();
    times.forEach(this::put);
  }

  private void put(long id, Duration timeToLive) {
    leases.put(id, renewed(timeToLive));
  }

  private Lease renewed(Duration timeToLive) {
    return new Lease(timeToLive, clock.get().plus(timeToLive));
  }
}
