/**
 * Controllers in separate processes, with fake services and workers, over real sockets of the
 * loopback network. Contains the tests that need them, and {@link
 * io.cherryspool.sim.loopback.LocalCluster} for trying out the program by hand. Uses {@code
 * sim.fakes}.
 *
 * <p>Threading: fakes run on event loops of this process; tests call them through {@link
 * io.cherryspool.sim.loopback.EventLoopCalls}.
 */
package io.cherryspool.sim.loopback;
