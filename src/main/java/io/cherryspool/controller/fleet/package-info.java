/**
 * What the leader knows of each machine, in memory for one term. All of it runs on the event loop
 * of the node.
 */
package io.cherryspool.controller.fleet;
