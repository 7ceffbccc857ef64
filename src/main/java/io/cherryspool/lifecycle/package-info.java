/**
 * What every long-lived activity of a node shares: the event loop on which it runs, and that it can
 * be started and stopped.
 *
 * <p>Depends on nothing; every other package may depend on it.
 *
 * <p>Threading: the event loop is the one thread on which a node's state lives.
 */
package io.cherryspool.lifecycle;
