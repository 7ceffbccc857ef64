/**
 * Connects the recovery of lost records to the node: provides its view of the cluster, and the API
 * for operators. All of it runs on the node's event loop.
 */
package io.cherryspool.controller.recovery;
