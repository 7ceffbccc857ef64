/**
 * The election of one leader for each term, and the leases by which a node proves that it still
 * leads. All of it runs on the event loop of the node.
 */
package io.cherryspool.controller.election;
