/**
 * Counters and gauges of a node, kept without a meter registry until metrics are first requested.
 * All classes are used on the event loop of the node only.
 */
package io.cherryspool.controller.metrics;
