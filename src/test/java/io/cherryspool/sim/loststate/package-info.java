/**
 * Tests clusters whose state store loses its data. docs/recovery.md describes the expected
 * behaviour.
 */
package io.cherryspool.sim.loststate;
