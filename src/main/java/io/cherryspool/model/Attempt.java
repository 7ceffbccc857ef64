package io.cherryspool.model;

/**
 * A task's committed assignment. Until the attempt's end is proved, the task belongs to this
 * machine, agent epoch and attempt, whatever else is observed.
 *
 * @param machine the machine's name
 * @param agentEpoch the epoch of the machine's agent in which the attempt was started
 * @param number counts the task's attempts from 1
 * @param fencingToken the token under which the attempt was started
 */
public record Attempt(
    int taskIndex, String machine, long agentEpoch, int number, long fencingToken) {

  // Generated record methods are linked at run time; see "Start-up" in docs/design.md.
  @Override
  public boolean equals(Object object) {
    return object instanceof Attempt other
        && taskIndex == other.taskIndex
        && number == other.number
        && agentEpoch == other.agentEpoch
        && fencingToken == other.fencingToken
        && machine.equals(other.machine);
  }

  @Override
  public int hashCode() {
    return 31 * Long.hashCode(fencingToken) + taskIndex;
  }
}
