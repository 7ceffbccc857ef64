package io.cherryspool.recovery;

/**
 * Another node, as its newest heartbeat describes it.
 *
 * @param isStateStoreReachable whether it reaches the state service
 */
public record Peer(String node, boolean isStateStoreReachable, RetainedRecords retainedRecords) {}
