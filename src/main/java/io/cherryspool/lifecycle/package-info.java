/**
 * The interfaces that all long-lived components of a node share: the event loop on which they run,
 * and the methods to start and stop them.
 *
 * <p>Depends on no other package; every other package may depend on it.
 *
 * <p>Threading: the event loop is the single thread that accesses the state of a node.
 */
package io.cherryspool.lifecycle;
