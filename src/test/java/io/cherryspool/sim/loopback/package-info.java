/**
 * Controllers as processes of their own among fakes, over real sockets of the loopback network: the
 * tests that need them, and {@link io.cherryspool.sim.loopback.LocalCluster} to try the program by
 * hand. Uses {@code sim.fakes}.
 *
 * <p>Threading: fakes live on event loops of this process; tests call them through {@link
 * io.cherryspool.sim.loopback.EventLoopCalls}.
 */
package io.cherryspool.sim.loopback;
