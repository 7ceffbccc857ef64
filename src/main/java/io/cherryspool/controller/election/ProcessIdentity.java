package io.cherryspool.controller.election;

/**
 * The identity of a process that takes part in elections. The name of the node is not enough: after
 * a restart the node runs another process, which doesn't hold the leases of the earlier one.
 *
 * @param node the node's name, the same after a restart
 * @param processId the id of the process, different for each process of the node
 */
public record ProcessIdentity(String node, String processId) {}
