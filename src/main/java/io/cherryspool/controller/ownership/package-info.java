/**
 * The ownership of tasks by attempts according to the committed records, the stops that the leader
 * has requested, and the fencing tokens of its term. All classes are used on the event loop of the
 * node only.
 */
package io.cherryspool.controller.ownership;
