/**
 * Checks of the rules that users rely on, against the tasks that fake workers run and the replies
 * that users receive.
 *
 * <p>Threading: all methods are called from events of one {@link
 * io.cherryspool.sim.time.VirtualTime}.
 */
package io.cherryspool.sim.check;
