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
 * The users: they submit, poll and cancel through any node, retry when a node asks them to, and
 * report all they receive to the {@link RuleChecker}.
 */
public final class SimulatedUsers {
  private static final int MAX_TRIES = 40;

  private final VirtualTime time;
  private final SimulatedNetwork network;
  private final RandomGenerator random;
  private final RuleChecker rules;
  private final List<Endpoint> nodes;
  private int pollingFactor = 1;
  private boolean closeWatch;
  private double cancelAtEndShare;
  private final Set<String> notAskedAbout = new HashSet<>();
  private int unservedRequests;

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

  /** How many requests were answered 503, or not at all. */
  public int unservedRequests() {
    return unservedRequests;
  }

  /** Users poll so many times as often as usual. */
  public void setPollingFactor(int factor) {
    pollingFactor = factor;
  }

  /**
   * Whether users ask all nodes, within milliseconds and several times, right after a job was
   * accepted, ended or confirmed as cancelled, and submit it again.
   */
  public void setBurstAfterStatusChange(boolean value) {
    closeWatch = value;
  }

  /** This share of the jobs that end is cancelled at the moment of the end. */
  public void setCancelAtEndShare(double share) {
    cancelAtEndShare = share;
  }

  /** Submits through a random node. */
  public void submit(Job job) {
    rules.jobSubmitted(job);
    submit(job, anyNode(), 0);
  }

  /** Submits through this node. */
  public void submit(Job job, Endpoint node) {
    rules.jobSubmitted(job);
    submit(job, node, 0);
  }

  /** Submits a job once more, unchanged. */
  public void resubmit(Job job) {
    submit(job, anyNode(), 0);
  }

  private void submit(Job job, Endpoint node, int tries) {
    send(
        node,
        Request.post("/api/jobs", Json.toBytes(UserProtocol.encodeJob(job))),
        5,
        (status, body, sent) -> {
          if (status == 200 || status == 201) {
            boolean first = rules.jobAccepted(job.id());
            statusReceived(job.id(), body.path("status").asText(), sent);
            if (first) {
              poll(job.id());
              watchClosely(job);
            }
          } else if (status == 400 || status == 422) {
            rules.jobRejected(job.id());
            rules.recordViolationIf(true, "refused", job.id() + " with " + status + ": " + body);
          } else if (tries < MAX_TRIES) {
            after(1, () -> submit(job, anyNode(), tries + 1));
          }
        });
  }

  /** Submits something that lacks a field, or that no machine and no team can run. */
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

  private void submitInvalid(ObjectNode body, int tries) {
    send(
        anyNode(),
        Request.post("/api/jobs", Json.toBytes(body)),
        5,
        (status, answer, sent) -> {
          rules.recordViolationIf(
              status == 200 || status == 201, "accepted what can't run", body.toString());
          if (status != 400 && status != 422 && tries < MAX_TRIES) {
            after(1, () -> submitInvalid(body, tries + 1));
          }
        });
  }

  /** Users stop polling a job, as after an operator has abandoned it. */
  public void stopPolling(String id) {
    notAskedAbout.add(id);
  }

  private void poll(String id) {
    if (notAskedAbout.contains(id)) {
      return;
    }
    send(id, anyNode());
    after(rules.hasEnded(id) ? 40 : 5.0 / pollingFactor, () -> poll(id));
  }

  private void send(String id, Endpoint node) {
    send(
        node,
        Request.get("/api/jobs/" + id),
        2,
        (status, body, sent) -> {
          if (status == 200) {
            statusReceived(id, body.path("status").asText(), sent);
          } else if (status == 404) {
            statusReceived(id, "404", sent);
          }
        });
  }

  /** Polls and cancels a job that nobody submitted. */
  void askForUnknownJob() {
    String id = "req-999999";
    send(id, anyNode());
    send(
        anyNode(),
        Request.post("/api/jobs/" + id + "/withdraw", new byte[0]),
        5,
        (status, body, sent) -> rules.recordViolationIf(status == 200, "invented", id));
  }

  /** Cancels through a random node, until it is confirmed. */
  public void cancel(String id) {
    cancel(id, anyNode());
  }

  /** Cancels through this node, until it is confirmed. */
  public void cancel(String id, Endpoint node) {
    rules.cancelRequested(id);
    send(
        node,
        Request.post("/api/jobs/" + id + "/withdraw", new byte[0]),
        5,
        (status, body, sent) -> {
          if (status == 200) {
            statusReceived(id, body.path("status").asText(), sent);
          } else {
            if (status == 404) {
              statusReceived(id, "404", sent);
            }
            after(1, () -> cancel(id, node));
          }
        });
  }

  /** A task has completed; some users cancel a job just as its last task completes. */
  void taskFinished(String task) {
    String id = TaskId.parse(task).jobId();
    if (cancelAtEndShare > 0
        && rules.completedTaskCount(id) == rules.job(id).taskCount()
        && random.nextDouble() < cancelAtEndShare) {
      after(random.nextDouble() / 5, () -> cancel(id));
    }
  }

  private void statusReceived(String id, String status, Duration sent) {
    boolean ended = rules.hasEnded(id);
    rules.statusReceived(id, status, sent);
    if (rules.hasEnded(id) && !ended) {
      watchClosely(rules.job(id));
    }
  }

  private void watchClosely(Job job) {
    if (!closeWatch) {
      return;
    }
    boolean cancel = !rules.hasEnded(job.id()) && random.nextInt(8) == 0;
    for (Endpoint node : nodes) {
      for (int i = 0; i < 3; i++) {
        int way = random.nextInt(4);
        after(
            random.nextInt(15) / 1e3,
            () -> {
              if (way == 0) {
                submit(job, node, MAX_TRIES);
              } else {
                send(job.id(), node);
              }
            });
      }
    }
    if (cancel) {
      after(random.nextInt(15) / 1e3, () -> cancel(job.id()));
    }
  }

  private Endpoint anyNode() {
    return nodes.get(random.nextInt(nodes.size()));
  }

  private void after(double seconds, Runnable task) {
    time.schedule(Duration.ofNanos((long) (seconds * 1e9)), task);
  }

  @FunctionalInterface
  private interface Answer {
    void take(int status, JsonNode body, Duration sent);
  }

  private void send(Endpoint node, Request request, int limit, Answer answer) {
    Duration sent = time.now();
    network
        .transportFrom("user", ProcessInbox.alwaysOpen())
        .send(node, request, Duration.ofSeconds(limit))
        .whenComplete(
            (reply, failure) -> {
              try {
                answer.take(
                    countUnserved(failure == null ? reply.status() : 0),
                    failure == null && reply.body().length > 0
                        ? Json.parseObject(reply.body())
                        : Json.object(),
                    sent);
              } catch (MalformedMessageException e) {
                throw new AssertionError(e);
              }
            });
  }

  private int countUnserved(int status) {
    unservedRequests += status == 0 || status == 503 ? 1 : 0;
    return status;
  }
}
