/**
 * Complete clusters in simulated time: controllers with a fake state store, cloud and workers,
 * simulated users whose observations are checked, and faults that are injected randomly or by a
 * test. Uses {@code sim.check}, {@code sim.fakes}, {@code sim.network} and {@code sim.time}.
 *
 * <p>Each run is determined by its seed. Single-threaded.
 */
package io.cherryspool.sim.cluster;
