/**
 * The HTTP API of a node for users, workers and operators, and the forwarding of users' requests to
 * other nodes. All of it runs on the node's event loop.
 */
package io.cherryspool.controller.api;
