/**
 * Notices that the state service has lost its data, and rebuilds the records from what the nodes
 * remember, what is left, and snapshots; docs/recovery.md has the reasons. {@link
 * io.cherryspool.recovery.Recovery} is the whole interface to the controller. Confined to the event
 * loop, but for the writing of snapshots.
 */
package io.cherryspool.recovery;
