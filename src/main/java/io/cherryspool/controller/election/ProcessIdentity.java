package io.cherryspool.controller.election;

/**
 * Who takes part in elections. The node alone is not enough: a restarted node is another process,
 * which doesn't hold the leases of the earlier one.
 *
 * @param node the node's name, the same after a restart
 * @param processId differs for each process
 */
public record ProcessIdentity(String node, String processId) {}
