package io.cherryspool.model;

/**
 * A task's committed assignment. Until its end is proved, the task belongs to this machine, session
 * and attempt, whatever else is seen.
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
