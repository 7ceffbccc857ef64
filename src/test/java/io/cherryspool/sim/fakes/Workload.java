package io.cherryspool.sim.fakes;

import io.cherryspool.model.Job;
import java.util.Optional;

/**
 * Provides the jobs whose tasks fake workers run, and is notified when tasks start and complete.
 */
public interface Workload {
  /**
   * Returns the description of a job, which determines how its tasks run; empty if workers cannot
   * get it.
   */
  Optional<Job> job(String id);

  /** Called when a task has its image and starts to run on the worker. */
  void onTaskStarted(FakeWorker worker, String task);

  /** Called when a task has completed without a failure. */
  void onTaskCompleted(String task);
}
