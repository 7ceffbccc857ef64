/**
 * Elects one leader for each term, and keeps the leases by which a node proves that it still leads.
 * All of it runs on the node's event loop.
 */
package io.cherryspool.controller.election;
