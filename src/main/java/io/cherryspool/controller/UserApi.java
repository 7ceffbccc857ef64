package io.cherryspool.controller;

import com.fasterxml.jackson.databind.JsonNode;
import io.cherryspool.http.Reply;
import io.cherryspool.model.Job;
import io.cherryspool.model.MachineType;
import io.cherryspool.model.Outcome;
import io.cherryspool.model.Team;
import io.cherryspool.scheduler.Rules;
import io.cherryspool.store.Budget;
import io.cherryspool.store.GroupCommit;
import io.cherryspool.store.JobEntry;
import io.cherryspool.store.Records;
import io.cherryspool.store.Replica;
import io.cherryspool.wire.JobWire;
import io.cherryspool.wire.Json;
import io.cherryspool.wire.StateWire;
import io.cherryspool.wire.WireException;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;

/**
 * What users ask. Any node answers, with or without a leader: a submission and a cancel are one
 * conditional write each, and everything but a final state is read after the request came in.
 */
final class UserApi {
  /** What can't be taken now is refused at once; the users are asked to come back this soon. */
  private static final int COME_BACK_S = 1;

  private final Replica replica;
  private final GroupCommit commits;
  private final Map<String, Team> teams;
  private final Supplier<List<MachineType>> catalog;
  private final Supplier<Instant> wall;
  private final int valueBytes;
  private final int failureCap;

  UserApi(
      Replica replica,
      GroupCommit commits,
      Map<String, Team> teams,
      Supplier<List<MachineType>> catalog,
      Supplier<Instant> wall,
      int valueBytes,
      int failureCap) {
    this.replica = replica;
    this.commits = commits;
    this.teams = teams;
    this.catalog = catalog;
    this.wall = wall;
    this.valueBytes = valueBytes;
    this.failureCap = failureCap;
  }

  CompletableFuture<Reply> submit(byte[] body) {
    Job job;
    JsonNode record;
    try {
      job = JobWire.parse(Json.parseObject(body), wall.get());
      record = Records.job(job, Records.tasksPerShard(valueBytes));
      if (Json.bytes(record).length > valueBytes) {
        throw new WireException("the description is too long to be kept");
      }
    } catch (WireException e) {
      return now(Reply.json(400, JobWire.error(e.getMessage())));
    }
    if (!replica.loaded()) {
      return now(later("not ready"));
    }
    String id = job.id();
    if (replica.job(id) != null) {
      return current(id);
    }
    List<MachineType> types = catalog.get();
    String impossible = types == null ? null : Rules.impossible(job, teams.get(job.team()), types);
    if (types == null || impossible != null) {
      // Another node may have accepted the job when it knew more, so look before refusing it.
      return replica
          .refresh()
          .thenApply(
              nothing ->
                  replica.job(id) != null
                      ? status(replica.job(id))
                      : types == null
                          ? later("the machine types are not known yet")
                          : Reply.json(422, JobWire.error(impossible)))
          .exceptionally(failure -> later("the state service is silent"));
    }
    return commits
        .submit(
            Budget.Use.SUBMIT,
            Map.of(Records.job(id), 0L),
            new StateWire.Change(Records.job(id), record, 0))
        .thenCompose(
            applied ->
                applied
                    ? now(Reply.json(201, JobWire.status(id, JobWire.Status.PENDING)))
                    : current(id))
        .exceptionally(failure -> later("the state service can't take the job now"));
  }

  CompletableFuture<Reply> poll(String id) {
    JobEntry known = replica.job(id);
    if (known != null && known.outcome() != null) {
      return now(status(known));
    }
    return current(id);
  }

  CompletableFuture<Reply> cancel(String id) {
    JobEntry known = replica.job(id);
    if (known != null && known.outcome() != null) {
      return now(ending(known));
    }
    return replica
        .refresh()
        .thenCompose(
            nothing -> {
              JobEntry entry = replica.job(id);
              if (entry == null) {
                return now(notFound());
              }
              if (entry.outcome() != null) {
                return now(ending(entry));
              }
              return commits
                  .submit(
                      Budget.Use.CANCEL,
                      Map.of(Records.outcome(id), 0L),
                      new StateWire.Change(
                          Records.outcome(id), Records.outcome(Outcome.CANCELLED), 0))
                  .thenCompose(
                      applied ->
                          applied
                              ? now(Reply.json(200, JobWire.status(id, JobWire.Status.CANCELLED)))
                              : replica.refresh().thenApply(again -> ending(replica.job(id))));
            })
        .exceptionally(failure -> later("the state service is silent"));
  }

  /** The job's state as of now, not as of the last change that this node heard of. */
  private CompletableFuture<Reply> current(String id) {
    return replica
        .refresh()
        .thenApply(
            nothing -> {
              JobEntry entry = replica.job(id);
              return entry == null ? notFound() : status(entry);
            })
        .exceptionally(failure -> later("the state service is silent"));
  }

  private Reply status(JobEntry entry) {
    int running = entry.outcome() == null ? entry.ownedCount() : 0;
    JobWire.Status status =
        entry.outcome() == Outcome.DONE
            ? JobWire.Status.DONE
            : entry.outcome() == Outcome.CANCELLED
                ? JobWire.Status.CANCELLED
                : running > 0 ? JobWire.Status.RUNNING : JobWire.Status.PENDING;
    return Reply.json(
        200,
        JobWire.status(
            entry.job().id(), status, entry.doneCount(), running, entry.failing(failureCap)));
  }

  private static Reply ending(JobEntry entry) {
    JobWire.Status status =
        entry.outcome() == Outcome.DONE ? JobWire.Status.DONE : JobWire.Status.CANCELLED;
    return Reply.json(200, JobWire.status(entry.job().id(), status));
  }

  private static Reply notFound() {
    return Reply.json(404, JobWire.error("no such job"));
  }

  private static Reply later(String why) {
    return Reply.retry(503, JobWire.error(why), COME_BACK_S);
  }

  private static CompletableFuture<Reply> now(Reply reply) {
    return CompletableFuture.completedFuture(reply);
  }
}
