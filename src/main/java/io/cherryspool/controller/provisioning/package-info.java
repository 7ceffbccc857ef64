/**
 * The size of the fleet: requests to the cloud for instances, their deletion, and the machine types
 * on offer. All of it runs on the event loop of the node.
 */
package io.cherryspool.controller.provisioning;
