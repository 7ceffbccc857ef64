/**
 * The rounds of a leader: what is proved to have ended is collected, tasks are placed, and the
 * changes are committed before any worker is sent a command. {@code SchedulingLoop} is where to
 * begin; a term's state, {@code TermState}, is shared by all parts of a leader.
 *
 * <p>May depend on {@code controller.release} and the packages below it, and on {@code scheduler},
 * {@code store}, {@code recovery}, {@code wire}, {@code model} and {@code lifecycle}.
 *
 * <p>Threading: all of it runs on the event loop of the node, without locks.
 */
package io.cherryspool.controller.rounds;
