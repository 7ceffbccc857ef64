package io.cherryspool.controller.api;

import com.fasterxml.jackson.databind.JsonNode;
import io.cherryspool.http.Reply;
import java.util.Optional;

/** The result of validating a submission, see {@link SubmissionValidator}. */
sealed interface JobSubmission {
  /**
   * A submission that may be accepted.
   *
   * @param record the job's record in the form in which it is stored
   */
  record Valid(String jobId, JsonNode record) implements JobSubmission {}

  /**
   * A submission that must be refused, unless it repeats the submission of an accepted job.
   *
   * @param jobId the id of the job in the submission; empty if it contains none
   * @param refusal the answer by which the submission is refused
   */
  record Invalid(Optional<String> jobId, Reply refusal) implements JobSubmission {}
}
