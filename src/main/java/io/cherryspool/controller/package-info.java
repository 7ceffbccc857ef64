/**
 * One controller node: it takes part in elections, answers users and workers, and while it leads
 * plans and commits rounds, sends commands to workers, and scales the fleet. This package connects
 * the parts, which are the packages below it, and runs them.
 *
 * <p>Committed state is read from the {@code store} package's copy of the records; all other state
 * in here is kept in memory for one term at most, and the next leader builds it anew from workers'
 * heartbeats. docs/design.md says why that is safe.
 *
 * <p>May depend on {@code scheduler}, {@code store}, {@code cloud}, {@code worker}, {@code mesh},
 * {@code http}, {@code wire}, {@code model} and {@code lifecycle}, and on {@code config} for the
 * values of the settings.
 *
 * <p>Threading: all of it runs on the node's event loop; nothing in here is synchronized or blocks.
 * Time and random numbers come from outside, so that the simulation can run the same code.
 */
package io.cherryspool.controller;
