package io.cherryspool.model;

/** A task of a job, written {@code job/number}. */
public record TaskId(String jobId, int index) implements Comparable<TaskId> {

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
    return object instanceof TaskId other && index == other.index && jobId.equals(other.jobId);
  }

  @Override
  public int hashCode() {
    return 31 * jobId.hashCode() + index;
  }

  @Override
  public int compareTo(TaskId other) {
    int jobs = jobId.compareTo(other.jobId);
    return jobs != 0 ? jobs : Integer.compare(index, other.index);
  }

  @Override
  public String toString() {
    return jobId + "/" + index;
  }
}
