/**
 * Heartbeats between the controller nodes, by which each says at short intervals how it is. They
 * are hints only, since no decision that must be right rests on their arrival.
 *
 * <p>May depend on {@code http}, for addresses and the event loop on Netty, and {@code lifecycle}.
 *
 * <p>Threading: runs on the event loop, where received messages are handed over too. Only binding
 * the port waits, and is called from outside the loop.
 */
package io.cherryspool.mesh;
