package io.cherryspool.controller.rounds;

import io.cherryspool.store.RateLimiter;
import io.cherryspool.wire.StateStoreProtocol;
import java.util.List;
import java.util.Map;

/**
 * Changes of records that are committed together or not at all.
 *
 * @param conditions the version that each key must have, 0 for an absent one
 * @param bytes an upper bound of what the changes' values take, encoded
 * @param writeClass what the changes are for, by which the rate limiter admits them
 */
record ChangeSet(
    Map<String, Long> conditions,
    List<StateStoreProtocol.Change> changes,
    int bytes,
    RateLimiter.WriteClass writeClass) {}
