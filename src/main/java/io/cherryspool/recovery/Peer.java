package io.cherryspool.recovery;

/**
 * Another node, as its latest heartbeat describes it.
 *
 * @param node the node's name
 * @param isStateStoreReachable whether the node reaches the state store
 * @param retainedRecords the records that the node retains
 */
public record Peer(String node, boolean isStateStoreReachable, RetainedRecords retainedRecords) {}
