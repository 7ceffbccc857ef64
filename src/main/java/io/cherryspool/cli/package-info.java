/**
 * The command line and the program's entry: it reads the settings, wires the modules of a node on
 * real sockets and clocks, and ends them on a signal. A training run uses a node once among fakes,
 * for the class-data archive that shortens the next start.
 *
 * <p>May depend on every other package; none depends on it.
 *
 * <p>Threading: settings are read and sockets are bound on the main thread; after that the node
 * lives on its event loop, to which the shutdown hook only submits tasks.
 */
package io.cherryspool.cli;
