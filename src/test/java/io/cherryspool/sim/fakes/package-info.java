/**
 * Test doubles that work: a state store, a cloud, workers, and transports and stores with faults.
 * They speak the protocols as plain JSON, but for the catalog not through {@code wire}, so that a
 * mistake there is not made twice. They run in simulated time and, on a real event loop, behind
 * real sockets. Uses {@code sim.time}.
 *
 * <p>Threading: all calls are made on the event loop that a fake was given.
 */
package io.cherryspool.sim.fakes;
