/**
 * The scheduling loop of the leader: proofs, the plan, and the commit of each round, before any
 * worker is answered. All of it runs on the event loop of the node.
 */
package io.cherryspool.controller.rounds;
