/**
 * Simulated time, and the delivery of events to simulated processes that can crash or freeze. Uses
 * no other package of the simulation.
 *
 * <p>Threading: one thread runs all events, in the order of their times and then of their
 * scheduling.
 */
package io.cherryspool.sim.time;
