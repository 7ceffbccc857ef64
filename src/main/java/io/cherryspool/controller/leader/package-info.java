/**
 * One term of this node as leader: intake of worker heartbeats, failover, and the commands that
 * workers are sent. {@code LeaderTerm} wires it, and is where to begin.
 *
 * <p>May depend on {@code controller.provisioning} and the packages below it, and on {@code
 * worker}, {@code cloud}, {@code reachability}, {@code recovery}, {@code store}, {@code wire},
 * {@code model} and {@code lifecycle}.
 *
 * <p>Threading: all of it runs on the event loop of the node, without locks.
 */
package io.cherryspool.controller.leader;
