/**
 * The node's connection to the recovery of lost records: its view of the cluster, and the
 * operators' API. All of it runs on the event loop of the node.
 */
package io.cherryspool.controller.recovery;
