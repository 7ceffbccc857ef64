/**
 * The rules that users rely on, checked against what fake workers run and what users receive.
 *
 * <p>Threading: all calls are events of one {@link io.cherryspool.sim.time.VirtualTime}.
 */
package io.cherryspool.sim.check;
