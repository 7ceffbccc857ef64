/**
 * The command line and the program's entry: it reads the settings, wires the parts of a node on
 * real sockets and clocks, and ends them on a signal. A rehearsal uses a node once among stand-ins,
 * for the class-data archive that shortens the next start.
 *
 * <p>May depend on every other package; none depends on it.
 *
 * <p>Threading: settings are read and sockets are bound on the main thread; after that the node
 * lives on its event loop, and the shutdown hook only hands its work over to that.
 */
package io.cherryspool.cli;
