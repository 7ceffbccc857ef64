package io.cherryspool.controller.provisioning;

import java.time.Duration;

/**
 * The limits of the cloud, and how long idle machines are kept, from the settings.
 *
 * @param cloudRequestsPerSecond the number of requests that the cloud allows per second
 * @param listLag the longest time until a change appears in the cloud's list
 * @param idleTimeout how long a machine without tasks is kept
 */
public record ProvisioningLimits(
    double cloudRequestsPerSecond, Duration listLag, Duration idleTimeout) {}
