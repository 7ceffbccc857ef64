package io.cherryspool.model;

/** A task of a job, written {@code job/number}. */
public record TaskId(String job, int number) {

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

  @Override
  public String toString() {
    return job + "/" + number;
  }
}
