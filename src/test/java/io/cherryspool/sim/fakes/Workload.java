package io.cherryspool.sim.fakes;

import io.cherryspool.model.Job;
import java.util.Optional;

/** The jobs whose tasks fake workers run, and what is to happen as tasks start and complete. */
public interface Workload {
  /** The description of a job, by which its tasks run; empty where workers can't get it. */
  Optional<Job> job(String id);

  /** A task has its image and starts to run, on this worker. */
  void taskStarted(FakeWorker worker, String task);

  /** A task has run to its end without a failure. */
  void taskCompleted(String task);
}
