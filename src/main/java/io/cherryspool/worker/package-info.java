/**
 * The client of the workers on the machines. It sends commands and decodes the heartbeats that
 * workers send in response.
 *
 * <p>May depend on {@code http}, {@code wire} and {@code model}.
 *
 * <p>Threading: must be called on the event loop, where its futures complete. Commands of a call
 * without a response may still be executed later.
 */
package io.cherryspool.worker;
