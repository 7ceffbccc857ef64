/**
 * Access to the records in the state store: their keys and values, this node's {@link
 * io.cherryspool.store.Replica} of them, compare-and-swap transactions, and this node's share of
 * the state store's rate limits.
 *
 * <p>This package may depend on {@code http}, {@code wire}, {@code model} and {@code lifecycle}.
 *
 * <p>Threading: all code of this package runs on the event loop, and futures complete there. A
 * transaction without an answer may have been applied, or may still be applied later; only the
 * records show whether it was.
 */
package io.cherryspool.store;
