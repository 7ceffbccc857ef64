/**
 * What proves that an attempt has ended, the ends that are proved and not recorded yet, and the
 * backoff of jobs that only fail. All of it runs on the event loop of the node.
 */
package io.cherryspool.controller.release;
