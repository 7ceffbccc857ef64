/**
 * The command line and the entry point of the program. It reads the settings, creates the
 * components of a node with real sockets and clocks, and stops them on a signal. A training run
 * uses a node once with fake services, to create the class-data archive that shortens later starts.
 *
 * <p>May depend on every other package; no package depends on it.
 *
 * <p>Threading: settings are read and sockets are bound on the main thread. After that the node
 * runs on its event loop, to which the shutdown hook only submits tasks.
 */
package io.cherryspool.cli;
