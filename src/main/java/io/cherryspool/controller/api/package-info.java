/**
 * The HTTP routes of a node: users, workers, operators, and forwarding to other nodes. All of it
 * runs on the event loop of the node.
 */
package io.cherryspool.controller.api;
