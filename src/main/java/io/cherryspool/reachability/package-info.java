/**
 * Monitors a node's links: to the state store, to each other controller, to the workers of each
 * zone and to the cloud. Only this package decides what a silent or failing link means.
 *
 * <p>Observations come from traffic that the node sends and receives anyway. The heartbeats between
 * controllers carry them to the other nodes, which collect them in a {@link
 * io.cherryspool.reachability.ReachabilityMatrix}. A {@link
 * io.cherryspool.reachability.VerdictRule} determines a {@link io.cherryspool.reachability.Verdict}
 * from the node's role, its links and the matrix, and the controller follows it.
 *
 * <p>No verdict can violate the cluster's safety rules: only leases, terms, fencing tokens and
 * confirmed deletions decide which node may act and which tasks are free. docs/partitions.md
 * discusses these rules.
 *
 * <p>May depend on {@code mesh}, {@code http}, {@code model} and {@code lifecycle}. Rules are pure
 * functions; the other classes keep the observations, and callers pass the time in.
 *
 * <p>Threading: all of it runs on the node's event loop.
 */
package io.cherryspool.reachability;
