package io.cherryspool.controller.provisioning;

import java.time.Duration;

/**
 * The cloud's limits and how long idle machines are kept, from the settings.
 *
 * @param cloudRequestsPerSecond the requests that the cloud allows in a second
 * @param listLag after so long the cloud's list shows every change
 * @param idleTimeout for how long a machine without tasks is kept
 */
public record ProvisioningLimits(
    double cloudRequestsPerSecond, Duration listLag, Duration idleTimeout) {}
