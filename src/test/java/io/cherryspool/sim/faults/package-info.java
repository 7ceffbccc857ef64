/**
 * Tests of simulated clusters with coinciding faults, which are random or chosen by the test. The
 * rules that users rely on are checked after each event.
 */
package io.cherryspool.sim.faults;
