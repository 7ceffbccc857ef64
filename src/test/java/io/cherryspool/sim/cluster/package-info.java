/**
 * Whole clusters in simulated time: controllers among fakes, users who watch the rules, and faults
 * injected by chance or by a directed test. Uses {@code sim.check}, {@code sim.fakes}, {@code
 * sim.network} and {@code sim.time}.
 *
 * <p>Everything that happens follows from a seed. Single-threaded.
 */
package io.cherryspool.sim.cluster;
