/**
 * Simulated time, and processes in it that can crash or freeze. Uses no other package of the
 * simulation.
 *
 * <p>Threading: one thread runs all events, in order of their time and then of their scheduling.
 */
package io.cherryspool.sim.time;
