/**
 * Tests of clusters whose state store loses its data; docs/recovery.md describes what they expect.
 */
package io.cherryspool.sim.loststate;
