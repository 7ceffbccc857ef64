/**
 * One controller node. It takes part in elections and answers users and workers. While it leads, it
 * plans and commits rounds, sends commands to workers, and scales the fleet. This package connects
 * and runs the components, which are in its subpackages.
 *
 * <p>Committed state is read from the replica of the records in the {@code store} package. All
 * other state is kept in memory for at most one term, and the next leader rebuilds it from workers'
 * heartbeats. docs/design.md explains why that is safe.
 *
 * <p>May depend on {@code scheduler}, {@code store}, {@code cloud}, {@code worker}, {@code mesh},
 * {@code http}, {@code wire}, {@code model} and {@code lifecycle}, and on {@code config} for the
 * values of the settings.
 *
 * <p>Threading: all of it runs on the node's event loop; nothing in this package is synchronized or
 * blocks. The caller provides time and random numbers, so that the simulation can run the same
 * code.
 */
package io.cherryspool.controller;
