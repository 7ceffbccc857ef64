/**
 * The proofs that an attempt has ended, the releases that are proved but not recorded yet, and the
 * backoff of crash-looping jobs. All classes are used on the event loop of the node only.
 */
package io.cherryspool.controller.release;
