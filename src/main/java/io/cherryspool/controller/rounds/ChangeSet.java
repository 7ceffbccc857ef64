package io.cherryspool.controller.rounds;

import io.cherryspool.store.RateLimiter;
import io.cherryspool.wire.StateStoreProtocol;
import java.util.List;
import java.util.Map;

/**
 * Changes of records that are committed atomically.
 *
 * @param conditions the version that each key must have for the changes to be committed, 0 if the
 *     key must be absent
 * @param bytes an upper bound on the encoded size of the changes' values
 * @param writeClass the purpose of the changes, by which the rate limiter admits them
 */
record ChangeSet(
    Map<String, Long> conditions,
    List<StateStoreProtocol.Change> changes,
    int bytes,
    RateLimiter.WriteClass writeClass) {}
