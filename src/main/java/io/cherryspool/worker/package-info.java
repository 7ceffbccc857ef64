/**
 * The client of the workers on the machines: it sends commands and reads the heartbeats that answer
 * them.
 *
 * <p>May depend on {@code http}, {@code wire} and {@code model}.
 *
 * <p>Threading: called on the event loop, where its futures complete. A call without an answer may
 * still be carried out later.
 */
package io.cherryspool.worker;
