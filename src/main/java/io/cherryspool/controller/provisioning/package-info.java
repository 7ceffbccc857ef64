/**
 * Scaling of the fleet: requests to the cloud for instances, their deletion, and the machine types
 * that the cloud offers. All classes are used on the event loop of the node only.
 */
package io.cherryspool.controller.provisioning;
