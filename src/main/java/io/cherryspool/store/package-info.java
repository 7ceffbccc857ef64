/**
 * The records in the state store: their keys and values, this node's {@link
 * io.cherryspool.store.Replica} of them, compare-and-swap transactions, and this node's share of
 * the state store's rate limits.
 *
 * <p>May depend on {@code http}, {@code wire}, {@code model} and {@code lifecycle}.
 *
 * <p>Threading: everything here runs on the event loop, and futures complete there. A transaction
 * without an answer may have been applied, or may still be: only the records show it.
 */
package io.cherryspool.store;
