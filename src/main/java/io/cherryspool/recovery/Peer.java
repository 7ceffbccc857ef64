package io.cherryspool.recovery;

/**
 * Another node, as its latest heartbeat describes it.
 *
 * @param node its name
 * @param isStateStoreReachable whether the state store answers it
 * @param retainedRecords what it retains of the records
 */
public record Peer(String node, boolean isStateStoreReachable, RetainedRecords retainedRecords) {}
