/**
 * The scheduling rounds of a leader. Each round collects proofs that attempts have ended, places
 * tasks, and commits the changes before workers are sent commands, except stops of preempted tasks,
 * which need no commit. {@code SchedulingLoop} runs the rounds and is the best starting point for
 * reading; {@code TermState} is the state of a term that all parts of a leader share.
 *
 * <p>May depend on {@code controller.release} and the packages below it, and on {@code scheduler},
 * {@code store}, {@code recovery}, {@code wire}, {@code model} and {@code lifecycle}.
 *
 * <p>Threading: all classes are used on the event loop of the node only, without locks.
 */
package io.cherryspool.controller.rounds;
