/**
 * HTTP on the node's event loop: a client and a server that use a limited number of sockets, and
 * types for requests, replies and addresses that the other packages use.
 *
 * <p>May depend on {@code lifecycle} and on Netty. Most packages use only the types that do not
 * depend on Netty, so that the simulation can replace the network.
 *
 * <p>Threading: handlers and futures run on the event loop, a single Netty thread, and must not
 * block. Binding a port blocks, and therefore is done from outside the loop.
 */
package io.cherryspool.http;
