package io.cherryspool.controller.api;

import com.fasterxml.jackson.databind.JsonNode;
import io.cherryspool.http.Reply;
import java.util.Optional;

/** A submission as {@link SubmissionValidator} judges it. */
sealed interface JobSubmission {
  /**
   * A job that may be accepted.
   *
   * @param record the job's record as it is to be stored
   */
  record Valid(String jobId, JsonNode record) implements JobSubmission {}

  /**
   * A submission that is to be refused, unless it repeats that of an accepted job.
   *
   * @param jobId the job that it names; empty if it names none
   */
  record Invalid(Optional<String> jobId, Reply refusal) implements JobSubmission {}
}
