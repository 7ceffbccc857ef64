/**
 * Tests of clusters in which faults meet, drawn by chance or brought together on purpose. The rules
 * are checked after each event.
 */
package io.cherryspool.sim.faults;
