/** Tests clusters whose links fail or flap. docs/partitions.md describes the expected behaviour. */
package io.cherryspool.sim.partition;
