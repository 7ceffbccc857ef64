/**
 * One term of this node as leader: handling of worker heartbeats, reconciliation after a failover,
 * and the commands sent to workers. {@code LeaderTerm} creates and connects the other classes;
 * start reading there.
 *
 * <p>May depend on {@code controller.provisioning} and the packages below it, and on {@code
 * worker}, {@code cloud}, {@code reachability}, {@code recovery}, {@code store}, {@code wire},
 * {@code model} and {@code lifecycle}.
 *
 * <p>Threading: all of it runs on the event loop of the node, without locks.
 */
package io.cherryspool.controller.leader;
