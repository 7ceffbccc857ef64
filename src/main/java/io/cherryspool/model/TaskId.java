package io.cherryspool.model;

/** A task of a job, written {@code job/number}. */
public record TaskId(String job, int number) implements Comparable<TaskId> {

  /** Reads the written form; null when it is not one. */
  public static TaskId parse(String text) {
    int slash = text.lastIndexOf('/');
    if (slash <= 0) {
      return null;
    }
    try {
      int number = Integer.parseInt(text.substring(slash + 1));
      return number < 0 ? null : new TaskId(text.substring(0, slash), number);
    } catch (NumberFormatException e) {
      return null;
    }
  }

  // Generated record methods are linked at run time; see "Start-up" in docs/design.md.
  @Override
  public boolean equals(Object object) {
    return object instanceof TaskId other && number == other.number && job.equals(other.job);
  }

  @Override
  public int hashCode() {
    return 31 * job.hashCode() + number;
  }

  @Override
  public int compareTo(TaskId other) {
    int jobs = job.compareTo(other.job);
    return jobs != 0 ? jobs : Integer.compare(number, other.number);
  }

  @Override
  public String toString() {
    return job + "/" + number;
  }
}
