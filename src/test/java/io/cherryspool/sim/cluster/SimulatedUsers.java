package io.cherryspool.sim.cluster;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.cherryspool.http.Endpoint;
import io.cherryspool.http.Request;
import io.cherryspool.model.Job;
import io.cherryspool.model.TaskId;
import io.cherryspool.sim.check.RuleChecker;
import io.cherryspool.sim.network.SimulatedNetwork;
import io.cherryspool.sim.time.ProcessInbox;
import io.cherryspool.sim.time.VirtualTime;
import io.cherryspool.wire.Json;
import io.cherryspool.wire.MalformedMessageException;
import io.cherryspool.wire.UserProtocol;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.random.RandomGenerator;

/**
 * Simulated users. They submit, poll and cancel jobs through any node, retry submissions and
 * cancels without a final reply, and pass all replies to the {@link RuleChecker}.
 */
public final class SimulatedUsers {
  private static final int MAX_ATTEMPTS = 40;

  private final VirtualTime time;
  private final SimulatedNetwork network;
  private final RandomGenerator random;
  private final RuleChecker rules;
  private final List<Endpoint> nodes;
  private int pollingFactor = 1;
  private boolean isBurstEnabled;
  private double cancelAtEndShare;
  private final Set<String> unpolledJobs = new HashSet<>();
  private int failedRequestCount;

  SimulatedUsers(
      VirtualTime time,
      SimulatedNetwork network,
      RandomGenerator random,
      RuleChecker rules,
      List<Endpoint> nodes) {
    this.time = time;
    this.network = network;
    this.random = random;
    this.rules = rules;
    this.nodes = nodes;
  }

  /** Returns the number of requests that failed or were answered with status 503. */
  public int failedRequestCount() {
    return failedRequestCount;
  }

  /** Sets how many times in 5 s users poll each job that has not ended; 1 is the usual rate. */
  public void setPollingFactor(int factor) {
    pollingFactor = factor;
  }

  /**
   * Sets whether users send a burst of requests to all nodes, within 15 ms, as soon as they receive
   * the reply that a job was accepted, is done or is cancelled. The requests poll the job, submit
   * it again or cancel it.
   */
  public void setBurstAfterStatusChange(boolean value) {
    isBurstEnabled = value;
  }

  /** Sets the share of jobs that users cancel within 0.2 s after the last task has completed. */
  public void setCancelAtEndShare(double share) {
    cancelAtEndShare = share;
  }

  /** Submits a job through a random node. */
  public void submit(Job job) {
    rules.recordSubmission(job);
    submit(job, randomNode(), 0);
  }

  /** Submits a job through the given node. */
  public void submit(Job job, Endpoint node) {
    rules.recordSubmission(job);
    submit(job, node, 0);
  }

  /** Submits a job again, unchanged, through a random node. */
  public void resubmit(Job job) {
    submit(job, randomNode(), 0);
  }

  private void submit(Job job, Endpoint node, int attempts) {
    send(
        node,
        Request.post("/api/jobs", Json.toBytes(UserProtocol.encodeJob(job))),
        5,
        (status, body, sentAt) -> {
          if (status == 200 || status == 201) {
            boolean isFirst = rules.recordAcceptance(job.id());
            processStatus(job.id(), body.path("status").asText(), sentAt);
            if (isFirst) {
              poll(job.id());
              sendRequestBurst(job);
            }
          } else if (status == 400 || status == 422) {
            rules.recordRejection(job.id());
            rules.recordViolationIf(true, "refused", job.id() + " with " + status + ": " + body);
          } else if (attempts < MAX_ATTEMPTS) {
            scheduleAfter(1, () -> submit(job, randomNode(), attempts + 1));
          }
        });
  }

  /**
   * Submits an invalid copy of the job: it lacks a field, has an unknown team, or is too large for
   * any machine.
   */
  void submitInvalid(Job job) {
    ObjectNode body = UserProtocol.encodeJob(job);
    List<String> fields = List.of("lane", "owner", "shape", "urgency", "pieces", "vcpus", "bundle");
    switch (random.nextInt(3)) {
      case 0 -> body.remove(fields.get(random.nextInt(fields.size())));
      case 1 -> body.put("owner", "nobody");
      default -> body.put("vcpus", 1000.0);
    }
    submitInvalid(body, 0);
  }

  private void submitInvalid(ObjectNode body, int attempts) {
    send(
        randomNode(),
        Request.post("/api/jobs", Json.toBytes(body)),
        5,
        (status, answer, sentAt) -> {
          rules.recordViolationIf(
              status == 200 || status == 201, "accepted_invalid", body.toString());
          if (status != 400 && status != 422 && attempts < MAX_ATTEMPTS) {
            scheduleAfter(1, () -> submitInvalid(body, attempts + 1));
          }
        });
  }

  /** Stops polling a job, as users do after an operator has abandoned it. */
  public void stopPolling(String id) {
    unpolledJobs.add(id);
  }

  private void poll(String id) {
    if (unpolledJobs.contains(id)) {
      return;
    }
    requestStatus(id, randomNode());
    scheduleAfter(rules.hasEnded(id) ? 40 : 5.0 / pollingFactor, () -> poll(id));
  }

  private void requestStatus(String id, Endpoint node) {
    send(
        node,
        Request.get("/api/jobs/" + id),
        2,
        (status, body, sentAt) -> {
          if (status == 200) {
            processStatus(id, body.path("status").asText(), sentAt);
          } else if (status == 404) {
            processStatus(id, "404", sentAt);
          }
        });
  }

  /** Polls and cancels a job that was never submitted. */
  void pollAndCancelUnknownJob() {
    String id = "req-999999";
    requestStatus(id, randomNode());
    send(
        randomNode(),
        Request.post("/api/jobs/" + id + "/withdraw", new byte[0]),
        5,
        (status, body, sentAt) -> rules.recordViolationIf(status == 200, "invented", id));
  }

  /** Cancels a job through a random node, and retries until the cancel is confirmed. */
  public void cancel(String id) {
    cancel(id, randomNode());
  }

  /** Cancels a job through the given node, and retries until the cancel is confirmed. */
  public void cancel(String id, Endpoint node) {
    rules.recordCancelRequest(id);
    send(
        node,
        Request.post("/api/jobs/" + id + "/withdraw", new byte[0]),
        5,
        (status, body, sentAt) -> {
          if (status == 200) {
            processStatus(id, body.path("status").asText(), sentAt);
          } else {
            if (status == 404) {
              processStatus(id, "404", sentAt);
            }
            scheduleAfter(1, () -> cancel(id, node));
          }
        });
  }

  /**
   * Called when a task has completed. If it was the last task of its job, users may cancel the job;
   * see {@link #setCancelAtEndShare}.
   */
  void onTaskCompleted(String task) {
    String id = TaskId.parse(task).jobId();
    if (cancelAtEndShare > 0
        && rules.completedTaskCount(id) == rules.job(id).taskCount()
        && random.nextDouble() < cancelAtEndShare) {
      scheduleAfter(random.nextDouble() / 5, () -> cancel(id));
    }
  }

  private void processStatus(String id, String status, Duration sentAt) {
    boolean hadEnded = rules.hasEnded(id);
    rules.recordStatus(id, status, sentAt);
    if (rules.hasEnded(id) && !hadEnded) {
      sendRequestBurst(rules.job(id));
    }
  }

  private void sendRequestBurst(Job job) {
    if (!isBurstEnabled) {
      return;
    }
    boolean shouldCancel = !rules.hasEnded(job.id()) && random.nextInt(8) == 0;
    for (Endpoint node : nodes) {
      for (int i = 0; i < 3; i++) {
        int choice = random.nextInt(4);
        scheduleAfter(
            random.nextInt(15) / 1e3,
            () -> {
              if (choice == 0) {
                submit(job, node, MAX_ATTEMPTS);
              } else {
                requestStatus(job.id(), node);
              }
            });
      }
    }
    if (shouldCancel) {
      scheduleAfter(random.nextInt(15) / 1e3, () -> cancel(job.id()));
    }
  }

  private Endpoint randomNode() {
    return nodes.get(random.nextInt(nodes.size()));
  }

  private void scheduleAfter(double seconds, Runnable task) {
    time.schedule(Duration.ofNanos((long) (seconds * 1e9)), task);
  }

  @FunctionalInterface
  private interface ResponseHandler {
    void onResponse(int status, JsonNode body, Duration sentAt);
  }

  private void send(Endpoint node, Request request, int timeoutS, ResponseHandler handler) {
    Duration sentAt = time.now();
    network
        .transportFrom("user", ProcessInbox.alwaysOpen())
        .send(node, request, Duration.ofSeconds(timeoutS))
        .whenComplete(
            (reply, failure) -> {
              try {
                handler.onResponse(
                    countIfFailed(failure == null ? reply.status() : 0),
                    failure == null && reply.body().length > 0
                        ? Json.parseObject(reply.body())
                        : Json.object(),
                    sentAt);
              } catch (MalformedMessageException e) {
                throw new AssertionError(e);
              }
            });
  }

  private int countIfFailed(int status) {
    failedRequestCount += status == 0 || status == 503 ? 1 : 0;
    return status;
  }
}
