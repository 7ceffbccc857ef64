/**
 * Heartbeats between the controller nodes, which each sends at short intervals. They are hints
 * only: no decision that must be right depends on their arrival.
 *
 * <p>May depend on {@code http}, for addresses and the event loop on Netty, and {@code lifecycle}.
 *
 * <p>Threading: runs on the event loop, where received heartbeats are delivered too. Only binding
 * the port blocks, and is called from outside the loop.
 */
package io.cherryspool.mesh;
