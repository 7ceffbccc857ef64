/**
 * Planning: chooses the machines on which pending tasks are placed, the running tasks to preempt,
 * and the machines to request and to delete.
 *
 * <p>May depend on {@code model} alone.
 *
 * <p>Threading: the planners are pure functions of a view, which they do not change. They keep no
 * state between calls, read no clock and do no input or output, so that equal views give equal
 * plans.
 */
package io.cherryspool.scheduler;
