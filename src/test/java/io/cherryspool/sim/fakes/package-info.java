/**
 * Fakes for tests: a state store, a cloud, workers, and transports and stores with faults. They
 * encode and decode the protocols as plain JSON, so that they do not share a defect with the codecs
 * of {@code wire}; only the catalog is encoded by {@code wire}. They run in simulated time, or on a
 * real event loop with real sockets. Uses {@code sim.time}.
 *
 * <p>Threading: a fake must be called on the event loop that was passed to its constructor.
 */
package io.cherryspool.sim.fakes;
