/**
 * Judges a node's links: to the state store, to each other controller, to the workers of each zone
 * and to the cloud. Nothing else in the program decides what a silent or failing link means.
 *
 * <p>Observations come from traffic that flows anyway. The heartbeats between controllers carry
 * them to the other nodes, where they make up a {@link
 * io.cherryspool.reachability.ReachabilityMatrix}. A {@link
 * io.cherryspool.reachability.VerdictRule} turns role, links and matrix into a {@link
 * io.cherryspool.reachability.Verdict}, which the controller follows.
 *
 * <p>No verdict can break a rule of the service: leases, terms, fencing tokens and confirmed
 * deletions alone decide who may act and which tasks are free. docs/partitions.md goes through
 * them.
 *
 * <p>May depend on {@code mesh}, {@code http}, {@code model} and {@code lifecycle}. Rules are pure;
 * monitors hold what was observed, and the time is passed in.
 *
 * <p>Threading: all of it runs on the node's event loop.
 */
package io.cherryspool.reachability;
