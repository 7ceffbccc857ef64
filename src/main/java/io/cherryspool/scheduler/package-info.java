/**
 * Planning: which pending task is placed on which machine, which running task is preempted, and
 * which machines the demand needs.
 *
 * <p>May depend on {@code model} alone.
 *
 * <p>Threading: pure functions of the view that they are given, which they do not change. They keep
 * no state between calls, read no clock and do no input or output, so that equal views give equal
 * plans.
 */
package io.cherryspool.scheduler;
