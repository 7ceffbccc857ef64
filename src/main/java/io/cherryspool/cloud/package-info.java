/**
 * The client of the cloud that provides instances. It fetches the catalog of machine types and the
 * list of instances, requests new instances and deletes them.
 *
 * <p>May depend on {@code http}, {@code wire} and {@code model}.
 *
 * <p>Threading: must be called on the event loop, where its futures complete. If a future fails
 * with anything but a {@code RefusedException}, the cloud may or may not have executed the request.
 */
package io.cherryspool.cloud;
