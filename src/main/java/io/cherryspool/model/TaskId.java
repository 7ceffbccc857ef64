package io.cherryspool.model;

/**
 * Identifies a task of a job. The text form is {@code job/index}, for example {@code req-000412/3}.
 * Task ids are ordered by job id, then by index.
 *
 * @param index the index of the task in its job, starting from 0
 */
public record TaskId(String jobId, int index) implements Comparable<TaskId> {

  /**
   * Parses the text form.
   *
   * @throws IllegalArgumentException if the text does not have this form
   */
  public static TaskId parse(String text) {
    int slash = text.lastIndexOf('/');
    if (slash <= 0) {
      throw new IllegalArgumentException("not a task id of the form job/index: " + text);
    }
    int index = Integer.parseInt(text.substring(slash + 1));
    if (index < 0) {
      throw new IllegalArgumentException("task id with a negative index: " + text);
    }
    return new TaskId(text.substring(0, slash), index);
  }

  // Written by hand, since generated record methods are linked at run time; see "Start-up" in
  // docs/design.md.
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
    int jobOrder = jobId.compareTo(other.jobId);
    return jobOrder != 0 ? jobOrder : Integer.compare(index, other.index);
  }

  /** Returns the text form, which {@link #parse} accepts. */
  @Override
  public String toString() {
    return jobId + "/" + index;
  }
}
