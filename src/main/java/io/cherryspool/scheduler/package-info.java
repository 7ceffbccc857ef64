/**
 * Planning: which waiting task goes to which machine, which running task makes way, and what fleet
 * the work needs.
 *
 * <p>May depend on {@code model} alone.
 *
 * <p>Threading: pure functions of a view that is handed in, which they do not change. They keep
 * nothing between calls, read no clock and do no input or output; the same view gives the same
 * plan.
 */
package io.cherryspool.scheduler;
