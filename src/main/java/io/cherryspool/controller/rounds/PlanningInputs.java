package io.cherryspool.controller.rounds;

import io.cherryspool.model.MachineType;
import io.cherryspool.model.Team;
import java.time.InstantSource;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;

/**
 * The inputs of planning other than the state of the cluster.
 *
 * @param teams the teams with their quotas, by name
 * @param catalog supplies the machine types, null while they are not known
 * @param clock the wall clock, to which deadlines and times of arrival refer
 * @param limits the limits of rounds
 */
public record PlanningInputs(
    Map<String, Team> teams,
    Supplier<List<MachineType>> catalog,
    InstantSource clock,
    RoundLimits limits) {}
