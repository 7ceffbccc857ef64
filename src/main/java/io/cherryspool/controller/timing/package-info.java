/**
 * The durations by which a node and its leader act, derived from the settings, and how far the
 * event loop is behind. All of it runs on the event loop of the node.
 */
package io.cherryspool.controller.timing;
