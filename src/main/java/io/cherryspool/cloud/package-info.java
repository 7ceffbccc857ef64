/**
 * The client of the cloud that provides instances: the catalog of machine types, the list of
 * instances, requests for new ones and deletions.
 *
 * <p>May depend on {@code http}, {@code wire} and {@code model}.
 *
 * <p>Threading: called on the event loop, where its futures complete. One that fails leaves open
 * whether the cloud carried the request out.
 */
package io.cherryspool.cloud;
