package io.cherryspool.model;

/**
 * The committed assignment of a task to a machine. Until the end of the attempt is proved, the
 * attempt owns the task, whatever else is observed.
 *
 * @param taskIndex the index of the task in its job
 * @param machine the machine's name
 * @param agentEpoch the epoch of the machine's agent in which the attempt was started
 * @param number the number of the attempt, counted from 1 for each task
 * @param fencingToken the fencing token of the round that started the attempt
 */
public record Attempt(
    int taskIndex, String machine, long agentEpoch, int number, long fencingToken) {

  // Written by hand, since generated record methods are linked at run time; see "Start-up" in
  // docs/design.md.
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
