/**
 * The cluster's state: the records that the state service keeps, this node's copy of them, and
 * conditional writes, held to this node's share of what the service bears.
 *
 * <p>May depend on {@code http}, {@code wire}, {@code model} and {@code lifecycle}.
 *
 * <p>Threading: all of it runs on the event loop, and its futures complete there. A write without
 * an answer may have been applied, or may yet be: only the records tell.
 */
package io.cherryspool.store;
