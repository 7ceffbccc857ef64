/**
 * The state that a leader keeps about each machine, in memory and for one term. All classes are
 * used on the event loop of the node only.
 */
package io.cherryspool.controller.fleet;
