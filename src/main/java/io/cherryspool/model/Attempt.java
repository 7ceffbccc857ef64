package io.cherryspool.model;

/**
 * A task's committed assignment. Until its end is proved, the task belongs to this machine, session
 * and attempt, whatever else is seen.
 */
public record Attempt(int task, String machine, long session, int number, long token) {

  // Generated record methods are linked at run time; see "Start-up" in docs/design.md.
  @Override
  public boolean equals(Object object) {
    return object instanceof Attempt other
        && task == other.task
        && number == other.number
        && session == other.session
        && token == other.token
        && machine.equals(other.machine);
  }

  @Override
  public int hashCode() {
    return 31 * Long.hashCode(token) + task;
  }
}
