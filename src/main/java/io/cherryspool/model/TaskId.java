package io.cherryspool.model;

/**
 * Names a task of a job, written {@code job/index}, such as {@code req-000412/3}. Ordered by job
 * id, then by index.
 *
 * @param index the task's number within its job, from 0
 */
public record TaskId(String jobId, int index) implements Comparable<TaskId> {

  /**
   * Reads the written form.
   *
   * @throws IllegalArgumentException if the text does not have that form
   */
  public static TaskId parse(String text) {
    int slash = text.lastIndexOf('/');
    if (slash <= 0) {
      throw new IllegalArgumentException("not a task id: " + text);
    }
    int index = Integer.parseInt(text.substring(slash + 1));
    if (index < 0) {
      throw new IllegalArgumentException("not a task id: " + text);
    }
    return new TaskId(text.substring(0, slash), index);
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

  /** The written form, which {@link #parse} reads. */
  @Override
  public String toString() {
    return jobId + "/" + index;
  }
}
