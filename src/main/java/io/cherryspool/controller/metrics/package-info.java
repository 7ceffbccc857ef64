/**
 * Counters and gauges of a node, kept without a registry until metrics are first asked for. All of
 * it runs on the event loop of the node.
 */
package io.cherryspool.controller.metrics;
