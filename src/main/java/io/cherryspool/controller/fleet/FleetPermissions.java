package io.cherryspool.controller.fleet;

import io.cherryspool.reachability.MachineEvictionRule;
import java.util.function.BooleanSupplier;
import java.util.function.Predicate;

/**
 * What the verdict on this node's links allows a leader to do with its machines.
 *
 * @param mayPlace whether anything may be planned and recorded, and machines be added and deleted
 * @param mayScale whether machines may be added, and idle ones deleted
 * @param isZoneEvictionSuspended whether the machines of a zone, which is named, are taken for
 *     unreachable rather than dead
 * @param evictionRule decides when a single machine is given up
 */
public record FleetPermissions(
    BooleanSupplier mayPlace,
    BooleanSupplier mayScale,
    Predicate<String> isZoneEvictionSuspended,
    MachineEvictionRule evictionRule) {}
