/**
 * The simulated network between hosts, and its faults. Uses {@code sim.time}.
 *
 * <p>Threading: all methods are called from events of one {@link
 * io.cherryspool.sim.time.VirtualTime}.
 */
package io.cherryspool.sim.network;
