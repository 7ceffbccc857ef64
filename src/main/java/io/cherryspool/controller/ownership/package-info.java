/**
 * Which attempt owns which task by the committed records, the stops that the leader has decided on,
 * and the fencing tokens of its term. All of it runs on the event loop of the node.
 */
package io.cherryspool.controller.ownership;
