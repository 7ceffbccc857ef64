/** Tests of clusters whose links fail or flap; docs/partitions.md describes what they expect. */
package io.cherryspool.sim.partition;
