package io.cherryspool.controller.election;

import io.cherryspool.store.RateLimiter;
import io.cherryspool.store.Replica;
import io.cherryspool.store.StateStoreClient;

/**
 * The objects through which one node reads and writes the state store. All of them are used on the
 * event loop only.
 *
 * @param client sends requests
 * @param rateLimiter limits this node to its share of the state store's request and write limits
 * @param records this node's replica of the records
 */
public record StateStoreAccess(StateStoreClient client, RateLimiter rateLimiter, Replica records) {}
