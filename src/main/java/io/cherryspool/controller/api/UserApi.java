package io.cherryspool.controller.api;

import com.fasterxml.jackson.databind.JsonNode;
import io.cherryspool.http.Reply;
import io.cherryspool.model.Job;
import io.cherryspool.model.MachineType;
import io.cherryspool.model.Outcome;
import io.cherryspool.model.Team;
import io.cherryspool.scheduler.PlacementConstraints;
import io.cherryspool.store.ClusterRecords;
import io.cherryspool.store.GroupCommit;
import io.cherryspool.store.JobRecord;
import io.cherryspool.store.RateLimiter;
import io.cherryspool.store.Records;
import io.cherryspool.wire.Json;
import io.cherryspool.wire.MalformedMessageException;
import io.cherryspool.wire.StateStoreProtocol;
import io.cherryspool.wire.UserProtocol;
import java.time.InstantSource;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

/**
 * What users ask. Any node answers, with or without a leader: a submission and a cancel are one
 * conditional write each, and everything but a final state is read after the request came in.
 */
public final class UserApi {
  /** What can't be taken now is refused at once; the users are asked to come back this soon. */
  private static final int COME_BACK_S = 1;

  private static final String SILENT = "the state service is silent";

  private final ClusterRecords replica;
  private final GroupCommit commits;
  private final Map<String, Team> teams;
  private final Supplier<List<MachineType>> catalog;
  private final InstantSource clock;
  private final int valueBytes;
  private final int failureCap;
  private final BooleanSupplier behind;

  /**
   * @param behind whether other nodes read the state while this one does not
   */
  public UserApi(
      ClusterRecords replica,
      GroupCommit commits,
      Map<String, Team> teams,
      Supplier<List<MachineType>> catalog,
      InstantSource clock,
      int valueBytes,
      int failureCap,
      BooleanSupplier behind) {
    this.replica = replica;
    this.commits = commits;
    this.teams = teams;
    this.catalog = catalog;
    this.clock = clock;
    this.valueBytes = valueBytes;
    this.failureCap = failureCap;
    this.behind = behind;
  }

  CompletableFuture<Reply> submit(byte[] body) {
    JsonNode node;
    try {
      node = Json.parseObject(body);
    } catch (MalformedMessageException e) {
      return now(malformed(e));
    }
    Job job;
    JsonNode record;
    try {
      job = UserProtocol.parseJob(node, clock.instant());
      record = Records.encodeJob(job, Records.tasksPerShard(valueBytes));
      if (Json.toBytes(record).length > valueBytes) {
        throw new MalformedMessageException("the description is too long to be kept");
      }
    } catch (MalformedMessageException e) {
      String named = UserProtocol.findJobId(node);
      return named == null ? now(malformed(e)) : refuse(named, malformed(e));
    }
    String id = job.id();
    List<MachineType> types = catalog.get();
    String impossible = PlacementConstraints.infeasibilityReason(job, teams.get(job.team()), types);
    if (impossible != null) {
      return refuse(id, Reply.json(422, UserProtocol.encodeError(impossible)));
    }
    if (replica.job(id) != null) {
      return known(id);
    }
    if (!replica.isLoaded()) {
      return now(later("not ready"));
    }
    if (types == null) {
      return refuse(id, later("the machine types are not known yet"));
    }
    return commits
        .submit(
            RateLimiter.WriteClass.SUBMIT,
            Map.of(Records.jobKey(id), 0L),
            new StateStoreProtocol.Change(Records.jobKey(id), record, 0))
        .thenCompose(
            applied ->
                applied
                    ? now(
                        Reply.json(
                            201, UserProtocol.encodeStatus(id, UserProtocol.JobStatus.PENDING)))
                    : known(id))
        .exceptionally(failure -> later("the state service can't take the job now"));
  }

  /**
   * Refuses a submission unless the job was accepted earlier, by any node: a user who repeats it is
   * never told that it is malformed or can never run. While no node reads the state none accepts
   * anything either, so that the copy tells enough; a node that others are ahead of can't tell.
   */
  private CompletableFuture<Reply> refuse(String id, Reply refusal) {
    if (replica.job(id) != null) {
      return known(id);
    }
    if (!replica.isLoaded()) {
      return now(later("not ready"));
    }
    return replica
        .refresh()
        .handle(
            (nothing, failure) -> {
              JobRecord entry = replica.job(id);
              boolean unsure = !replica.isLoaded() || behind.getAsBoolean();
              if (failure != null && (entry != null || unsure)) {
                return later(SILENT);
              }
              return entry == null ? refusal : status(entry);
            });
  }

  /** The answer to a submission of a job that was accepted earlier. */
  private CompletableFuture<Reply> known(String id) {
    return current(id, () -> later("the job's record is not to be seen"));
  }

  CompletableFuture<Reply> poll(String id) {
    return current(id, () -> unknown(id));
  }

  /**
   * After records were lost, a job that workers run was accepted once, whoever its user was; what
   * they run is known only once all are heard.
   */
  private Reply unknown(String id) {
    boolean gone = replica.isAbandoned(id) || !replica.isUnknownJob(id);
    return replica.isReconciled() && gone
        ? notFound()
        : later("the records of this job are lost; submit it again");
  }

  CompletableFuture<Reply> cancel(String id) {
    JobRecord known = replica.job(id);
    if (known != null && known.outcome() != null) {
      return now(ending(known));
    }
    return replica
        .refresh()
        .thenCompose(
            nothing -> {
              JobRecord entry = replica.job(id);
              if (entry == null) {
                return now(unknown(id));
              }
              if (entry.outcome() != null) {
                return now(ending(entry));
              }
              return commits
                  .submit(
                      RateLimiter.WriteClass.CANCEL,
                      Map.of(Records.outcomeKey(id), 0L),
                      new StateStoreProtocol.Change(
                          Records.outcomeKey(id), Records.encodeOutcome(Outcome.CANCELLED), 0))
                  .thenCompose(
                      applied ->
                          applied
                              ? now(
                                  Reply.json(
                                      200,
                                      UserProtocol.encodeStatus(
                                          id, UserProtocol.JobStatus.CANCELLED)))
                              : replica.refresh().thenApply(again -> ended(replica.job(id))));
            })
        .exceptionally(failure -> later(SILENT));
  }

  /**
   * The job's state as of now, not as of the last change that this node heard of. Only an end is
   * told from memory, in any trouble, since nothing follows it.
   */
  private CompletableFuture<Reply> current(String id, Supplier<Reply> unknown) {
    JobRecord known = replica.job(id);
    if (known != null && known.outcome() != null) {
      return now(status(known));
    }
    return replica
        .refresh()
        .thenApply(
            nothing -> {
              JobRecord entry = replica.job(id);
              return entry == null ? unknown.get() : status(entry);
            })
        .exceptionally(failure -> later(SILENT));
  }

  /**
   * After a cancel that met a conflict. What it met is told only from a record that is there:
   * without one nothing says how the job ended, nor that it did, and the user asks again.
   */
  private static Reply ended(JobRecord entry) {
    return entry == null || entry.outcome() == null
        ? later("whether the job is cancelled is not known yet")
        : ending(entry);
  }

  private Reply status(JobRecord entry) {
    int running = entry.outcome() == null ? entry.ownedCount() : 0;
    UserProtocol.JobStatus status =
        entry.outcome() == Outcome.DONE
            ? UserProtocol.JobStatus.DONE
            : entry.outcome() == Outcome.CANCELLED
                ? UserProtocol.JobStatus.CANCELLED
                : running > 0 ? UserProtocol.JobStatus.RUNNING : UserProtocol.JobStatus.PENDING;
    return Reply.json(
        200,
        UserProtocol.encodeStatus(
            entry.job().id(),
            status,
            entry.doneCount(),
            running,
            entry.failingTaskCount(failureCap)));
  }

  private static Reply ending(JobRecord entry) {
    UserProtocol.JobStatus status =
        entry.outcome() == Outcome.DONE
            ? UserProtocol.JobStatus.DONE
            : UserProtocol.JobStatus.CANCELLED;
    return Reply.json(200, UserProtocol.encodeStatus(entry.job().id(), status));
  }

  private static Reply malformed(MalformedMessageException failure) {
    return Reply.json(400, UserProtocol.encodeError(failure.getMessage()));
  }

  private static Reply notFound() {
    return Reply.json(404, UserProtocol.encodeError("no such job"));
  }

  private static Reply later(String why) {
    return Reply.withRetryAfter(503, UserProtocol.encodeError(why), COME_BACK_S);
  }

  private static CompletableFuture<Reply> now(Reply reply) {
    return CompletableFuture.completedFuture(reply);
  }
}
