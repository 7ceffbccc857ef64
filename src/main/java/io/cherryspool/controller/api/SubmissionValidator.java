package io.cherryspool.controller.api;

import com.fasterxml.jackson.databind.JsonNode;
import io.cherryspool.http.Reply;
import io.cherryspool.model.Job;
import io.cherryspool.model.MachineType;
import io.cherryspool.model.Team;
import io.cherryspool.scheduler.PlacementConstraints;
import io.cherryspool.store.Records;
import io.cherryspool.wire.Json;
import io.cherryspool.wire.MalformedMessageException;
import io.cherryspool.wire.UserProtocol;
import java.time.InstantSource;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;

/** Validates the contents of submissions, regardless of the jobs that were accepted before. */
public final class SubmissionValidator {
  private final Map<String, Team> teams;
  private final Supplier<List<MachineType>> machineTypes;
  private final InstantSource clock;
  private final int maxRecordBytes;

  /**
   * Creates the validator.
   *
   * @param teams the configured teams, by name
   * @param machineTypes returns the machine types; null while they are not known
   * @param maxRecordBytes the state store's limit on the size of a value
   */
  public SubmissionValidator(
      Map<String, Team> teams,
      Supplier<List<MachineType>> machineTypes,
      InstantSource clock,
      int maxRecordBytes) {
    this.teams = teams;
    this.machineTypes = machineTypes;
    this.clock = clock;
    this.maxRecordBytes = maxRecordBytes;
  }

  /** Validates the body of a submission. */
  JobSubmission validate(byte[] body) {
    JsonNode node;
    try {
      node = Json.parseObject(body);
    } catch (MalformedMessageException e) {
      return new JobSubmission.Invalid(Optional.empty(), malformedReply(e));
    }
    try {
      Job job = UserProtocol.parseJob(node, clock.instant());
      return checkRunnable(job, encode(job));
    } catch (MalformedMessageException e) {
      return new JobSubmission.Invalid(UserProtocol.findJobId(node), malformedReply(e));
    }
  }

  private JsonNode encode(Job job) throws MalformedMessageException {
    JsonNode record = Records.encodeJob(job, Records.tasksPerShard(maxRecordBytes));
    if (Json.toBytes(record).length > maxRecordBytes) {
      throw new MalformedMessageException("the description is too long to be kept");
    }
    return record;
  }

  private JobSubmission checkRunnable(Job job, JsonNode record) {
    List<MachineType> types = machineTypes.get();
    Optional<String> reason =
        PlacementConstraints.infeasibilityReason(job, teams.get(job.team()), types);
    if (reason.isPresent()) {
      return new JobSubmission.Invalid(
          Optional.of(job.id()), Replies.error(Replies.UNPROCESSABLE, reason.get()));
    }
    if (types == null) {
      return new JobSubmission.Invalid(
          Optional.of(job.id()), Replies.retryLater("the machine types are not known yet"));
    }
    return new JobSubmission.Valid(job.id(), record);
  }

  private static Reply malformedReply(MalformedMessageException failure) {
    return Replies.error(Replies.BAD_REQUEST, failure.getMessage());
  }
}
