package io.cherryspool.sim.driver;

import io.cherryspool.sim.loopback.ControllerProcess;
import java.util.List;

/** Finds texts in the logs of several controllers. Times are those of {@link System#nanoTime}. */
final class ControllerLogs {
  private final List<ControllerProcess> controllers;

  /**
   * Creates the controller logs.
   *
   * @param controllers the processes; later changes of the list take effect
   */
  ControllerLogs(List<ControllerProcess> controllers) {
    this.controllers = controllers;
  }

  /**
   * Returns the time at which the text first appeared in any of the logs, counting only lines since
   * the given time; -1 if there is no such line.
   */
  long timeOfFirst(String text, long since) {
    long first = -1;
    for (ControllerProcess controller : controllers) {
      long lineTime = controller.timeOfFirstLine(text, since);
      first = first < 0 || (lineTime >= 0 && lineTime < first) ? lineTime : first;
    }
    return first;
  }

  /**
   * Returns the latest of the times at which the text first appeared in each log, counting only
   * lines since the given time; -1 if there is no such line.
   */
  long timeOfLast(String text, long since) {
    long last = -1;
    for (ControllerProcess controller : controllers) {
      last = Math.max(last, controller.timeOfFirstLine(text, since));
    }
    return last;
  }
}
