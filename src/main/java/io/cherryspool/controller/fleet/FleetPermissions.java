package io.cherryspool.controller.fleet;

import io.cherryspool.reachability.MachineEvictionRule;
import java.util.function.BooleanSupplier;
import java.util.function.Predicate;

/**
 * What a leader may do with its machines, depending on the state of this node's links.
 *
 * @param mayPlace whether rounds may plan and record placements, and machines may be added and
 *     deleted
 * @param mayScale whether machines may be added, and idle ones deleted
 * @param isZoneEvictionSuspended whether the silent machines of the zone with this name are treated
 *     as unreachable rather than dead
 * @param evictionRule decides when a single machine is evicted
 */
public record FleetPermissions(
    BooleanSupplier mayPlace,
    BooleanSupplier mayScale,
    Predicate<String> isZoneEvictionSuspended,
    MachineEvictionRule evictionRule) {}
