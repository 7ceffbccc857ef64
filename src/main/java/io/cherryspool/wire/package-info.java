/**
 * The messages of the users', workers', cloud's and state service's protocols, and their mapping to
 * the model. The protocols' own words are spoken here and nowhere else.
 *
 * <p>May depend on {@code model}, on Jackson, and on {@link io.cherryspool.http.Request}, the value
 * type in which requests are handed on.
 *
 * <p>Threading: functions without state; any thread may call them. What is not as the protocol says
 * is a {@link io.cherryspool.wire.MalformedMessageException} that names the field.
 */
package io.cherryspool.wire;
