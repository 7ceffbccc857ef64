/**
 * One controller node: it takes part in elections, answers users and workers, and while it leads
 * plans and commits rounds, sends commands to workers, and rents and returns machines.
 *
 * <p>What is committed is read from the {@code store} package's replica; everything else in here is
 * memory of one term at most, which the next leader learns again. docs/design.md says why that is
 * safe.
 *
 * <p>May depend on {@code scheduler}, {@code store}, {@code cloud}, {@code worker}, {@code mesh},
 * {@code http}, {@code wire}, {@code model} and {@code lifecycle}, and on {@code config} for the
 * values of the settings.
 *
 * <p>Threading: all of it runs on the node's event loop; nothing in here is synchronized or blocks.
 * Time and chance come from outside, so that the simulation can run the same code.
 */
package io.cherryspool.controller;
