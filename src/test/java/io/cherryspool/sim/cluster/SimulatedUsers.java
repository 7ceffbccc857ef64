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
 * The users: they submit, ask and cancel through any node, come again where they are told to, and
 * hold what they are told against the rules.
 */
public final class SimulatedUsers {
  private static final int MOST_TRIES = 40;

  private final VirtualTime time;
  private final SimulatedNetwork net;
  private final RandomGenerator random;
  private final RuleChecker rules;
  private final List<Endpoint> nodes;
  private int storm = 1;
  private boolean lookClosely;
  private double cancelAtEnd;
  private final Set<String> forgotten = new HashSet<>();
  private int unservedRequests;

  SimulatedUsers(
      VirtualTime time,
      SimulatedNetwork net,
      RandomGenerator random,
      RuleChecker rules,
      List<Endpoint> nodes) {
    this.time = time;
    this.net = net;
    this.random = random;
    this.rules = rules;
    this.nodes = nodes;
  }

  /** Questions come so many times as often. */
  /** How many requests were answered 503, or not at all. */
  public int unservedRequests() {
    return unservedRequests;
  }

  public void storm(int factor) {
    storm = factor;
  }

  /**
   * Whether they ask at all nodes, within milliseconds and several times, right after a job was
   * accepted, ended or confirmed as cancelled, and submit it again.
   */
  public void lookClosely(boolean value) {
    lookClosely = value;
  }

  /** This share of the jobs that end is cancelled at the moment of the end. */
  public void cancelAtEnd(double share) {
    cancelAtEnd = share;
  }

  public void submit(Job job) {
    rules.jobSubmitted(job);
    submit(job, anyNode(), 0);
  }

  /** Submits through one node. */
  public void submit(Job job, Endpoint node) {
    rules.jobSubmitted(job);
    submit(job, node, 0);
  }

  /** Submits a known job once more. */
  public void resubmit(Job job) {
    submit(job, anyNode(), 0);
  }

  private void submit(Job job, Endpoint node, int tries) {
    ask(
        node,
        Request.post("/api/jobs", Json.toBytes(UserProtocol.encodeJob(job))),
        5,
        (status, body, sent) -> {
          if (status == 200 || status == 201) {
            boolean first = rules.jobAccepted(job.id());
            told(job.id(), body.path("status").asText(), sent);
            if (first) {
              poll(job.id());
              look(job);
            }
          } else if (status == 400 || status == 422) {
            rules.jobRejected(job.id());
            rules.noteViolationIf(true, "refused", job.id() + " with " + status + ": " + body);
          } else if (tries < MOST_TRIES) {
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
    ask(
        anyNode(),
        Request.post("/api/jobs", Json.toBytes(body)),
        5,
        (status, answer, sent) -> {
          rules.noteViolationIf(status == 200 || status == 201, "accepted what can't run", body.toString());
          if (status != 400 && status != 422 && tries < MOST_TRIES) {
            after(1, () -> submitInvalid(body, tries + 1));
          }
        });
  }

  /** Asks no more about a job, as its operator has told the user to. */
  public void stopAsking(String id) {
    forgotten.add(id);
  }

  private void poll(String id) {
    if (forgotten.contains(id)) {
      return;
    }
    ask(id, anyNode());
    after(rules.hasEnded(id) ? 40 : 5.0 / storm, () -> poll(id));
  }

  private void ask(String id, Endpoint node) {
    ask(
        node,
        Request.get("/api/jobs/" + id),
        2,
        (status, body, sent) -> {
          if (status == 200) {
            told(id, body.path("status").asText(), sent);
          } else if (status == 404) {
            told(id, "404", sent);
          }
        });
  }

  /** Asks about a job that nobody submitted, and cancels it. */
  void askForUnknownJob() {
    String id = "req-999999";
    ask(id, anyNode());
    ask(
        anyNode(),
        Request.post("/api/jobs/" + id + "/withdraw", new byte[0]),
        5,
        (status, body, sent) -> rules.noteViolationIf(status == 200, "invented", id));
  }

  public void cancel(String id) {
    cancel(id, anyNode());
  }

  public void cancel(String id, Endpoint node) {
    rules.cancelRequested(id);
    ask(
        node,
        Request.post("/api/jobs/" + id + "/withdraw", new byte[0]),
        5,
        (status, body, sent) -> {
          if (status == 200) {
            told(id, body.path("status").asText(), sent);
          } else {
            if (status == 404) {
              told(id, "404", sent);
            }
            after(1, () -> cancel(id, node));
          }
        });
  }

  /** A task is done; some users cancel just as the last one of a job is. */
  void taskFinished(String task) {
    String id = TaskId.parse(task).jobId();
    if (cancelAtEnd > 0
        && rules.completedTaskCount(id) == rules.job(id).taskCount()
        && random.nextDouble() < cancelAtEnd) {
      after(random.nextDouble() / 5, () -> cancel(id));
    }
  }

  private void told(String id, String status, Duration sent) {
    boolean ended = rules.hasEnded(id);
    rules.statusReceived(id, status, sent);
    if (rules.hasEnded(id) && !ended) {
      look(rules.job(id));
    }
  }

  private void look(Job job) {
    if (!lookClosely) {
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
                submit(job, node, MOST_TRIES);
              } else {
                ask(job.id(), node);
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

  private void ask(Endpoint node, Request request, int limit, Answer answer) {
    Duration sent = time.now();
    net.from("user", ProcessInbox.alwaysOpen())
        .send(node, request, Duration.ofSeconds(limit))
        .whenComplete(
            (reply, failure) -> {
              try {
                answer.take(
                    counted(failure == null ? reply.status() : 0),
                    failure == null && reply.body().length > 0
                        ? Json.parseObject(reply.body())
                        : Json.object(),
                    sent);
              } catch (MalformedMessageException e) {
                throw new AssertionError(e);
              }
            });
  }

  private int counted(int status) {
    unservedRequests += status == 0 || status == 503 ? 1 : 0;
    return status;
  }
}
