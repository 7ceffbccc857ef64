/**
 * The durations that a node and its leader use, derived from the settings, and the detection of a
 * lagging event loop. All classes are used on the event loop of the node only.
 */
package io.cherryspool.controller.timing;
