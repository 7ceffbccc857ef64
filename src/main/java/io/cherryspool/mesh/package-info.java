/**
 * Exchanges heartbeats between the controller nodes. Each node sends them at short intervals. They
 * are hints only: no decision that affects correctness depends on their arrival.
 *
 * <p>May depend on {@code http}, for addresses and the Netty event loop, and on {@code lifecycle}.
 *
 * <p>Threading: runs on the event loop, where received heartbeats are delivered as well. Only
 * binding the port blocks; it is called from outside the event loop.
 */
package io.cherryspool.mesh;
