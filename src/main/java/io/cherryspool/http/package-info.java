/**
 * HTTP on the node's event loop: a client and a server with bounded sockets, and the plain types of
 * requests, replies and addresses that the other packages use.
 *
 * <p>May depend on {@code lifecycle}, besides Netty. The types without Netty in them are all that
 * others need, so that the simulation can take the place of the network.
 *
 * <p>Threading: handlers and futures run on the event loop, a single Netty thread; they must not
 * block. Only binding a port blocks, and is called from outside the loop.
 */
package io.cherryspool.http;
