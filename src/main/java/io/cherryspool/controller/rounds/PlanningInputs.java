package io.cherryspool.controller.rounds;

import io.cherryspool.model.MachineType;
import io.cherryspool.model.Team;
import java.time.InstantSource;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;

/**
 * What rounds are planned by beside the cluster's state.
 *
 * @param teams the teams by name, with their quotas
 * @param catalog supplies the machine types, null while they are not known
 * @param clock the wall clock, by which deadlines and arrivals count
 * @param limits the sizes and times of rounds
 */
public record PlanningInputs(
    Map<String, Team> teams,
    Supplier<List<MachineType>> catalog,
    InstantSource clock,
    RoundLimits limits) {}
