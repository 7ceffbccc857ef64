/**
 * One term of this node as leader: intake of worker heartbeats, failover, and the commands that
 * workers are sent. All of it runs on the event loop of the node.
 */
package io.cherryspool.controller.leader;
