package io.cherryspool.sim.fakes;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.cherryspool.http.Endpoint;
import io.cherryspool.http.Reply;
import io.cherryspool.http.Request;
import io.cherryspool.http.RequestHandler;
import io.cherryspool.http.Transport;
import io.cherryspool.lifecycle.EventLoop;
import io.cherryspool.model.Job;
import io.cherryspool.model.TaskId;
import io.cherryspool.wire.Json;
import io.cherryspool.wire.MalformedMessageException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.random.RandomGenerator;

/** A stand-in for a worker: reports, obeys, keeps its lease; it can hang, and go on later. */
public final class FakeWorker implements RequestHandler {
  /** The class of jobs that were submitted with a mistake. */
  public static final String FAILING_JOB_CLASS = "broken";

  private static final Duration ANSWER_LIMIT = Duration.ofSeconds(4);

  private final EventLoop loop;
  private final RandomGenerator random;
  private final Transport transport;
  private final FakeCloud.Machine machine;
  private final Map<String, Endpoint> nodes;
  private final List<String> names;
  private final Function<String, Job> jobs;
  private final Duration report;
  private final Duration lease;
  private final double faults;
  private final BiConsumer<FakeWorker, String> onStart;
  private final Consumer<String> onDone;
  private final Map<String, Piece> pieces = new LinkedHashMap<>();
  private final Set<String> images = new HashSet<>();
  private final List<Runnable> missed = new ArrayList<>();
  private int at;
  private long agentEpoch = 1;
  private long sequence;
  private long token;
  private Duration leaseRenewedAt;
  private boolean reporting;
  private boolean hung;
  private boolean dead;
  private boolean sick;
  private Double notice;
  private boolean changed;
  private Duration lastReport = Duration.ZERO;

  private static final class Piece {
    private final String task;
    private final int attempt;
    private String status = "pulling";
    private String cause;
    private boolean saved;

    Piece(String task, int attempt) {
      this.task = task;
      this.attempt = attempt;
    }
  }

  /**
   * @param faults the share of tasks that fail for no reason of the job's or the machine's
   */
  public FakeWorker(
      EventLoop loop,
      RandomGenerator random,
      Transport transport,
      FakeCloud.Machine machine,
      Map<String, Endpoint> nodes,
      Function<String, Job> jobs,
      Duration report,
      Duration lease,
      double faults,
      BiConsumer<FakeWorker, String> onStart,
      Consumer<String> onDone) {
    this.loop = loop;
    this.random = random;
    this.transport = transport;
    this.machine = machine;
    this.nodes = nodes;
    this.names = List.copyOf(nodes.keySet());
    this.jobs = jobs;
    this.report = report;
    this.lease = lease;
    this.faults = faults;
    this.onStart = onStart;
    this.onDone = onDone;
    this.leaseRenewedAt = loop.now();
    this.at = random.nextInt(names.size());
    later(Duration.ZERO, this::cycle);
    later(Duration.ZERO, this::checkLease);
  }

  public long agentEpoch() {
    return agentEpoch;
  }

  public FakeCloud.Machine machine() {
    return machine;
  }

  /**
   * The tasks on the machine in the users' sense: with their image, and not exited. A machine that
   * hangs past its lease has none, since killing them is the first thing it does when it goes on.
   */
  public List<String> runningTasks() {
    List<String> result = new ArrayList<>();
    if (hung && loop.now().minus(leaseRenewedAt).compareTo(lease) > 0) {
      return result;
    }
    for (Piece piece : pieces.values()) {
      if (piece.status.equals("running") || piece.status.equals("saving")) {
        result.add(piece.task);
      }
    }
    return result;
  }

  /** When the last report that was answered was sent, or the session began. */
  public Duration leaseRenewedAt() {
    return leaseRenewedAt;
  }

  /** What the machine has for its tasks, those that fetch their image among them, by task. */
  public List<String> assignedTasks() {
    List<String> result = new ArrayList<>();
    for (Piece piece : pieces.values()) {
      if (piece.cause == null) {
        result.add(piece.task);
      }
    }
    return result;
  }

  public void kill() {
    dead = true;
    pieces.clear();
  }

  public void hang(Duration duration) {
    if (!hung) {
      hung = true;
      loop.schedule(
          duration,
          () -> {
            hung = false;
            if (!dead) {
              expire();
              List<Runnable> late = List.copyOf(missed);
              missed.clear();
              late.forEach(Runnable::run);
            }
          });
    }
  }

  /** Every task fails here for so long. */
  public void failTasksFor(Duration length) {
    sick = true;
    loop.schedule(length, () -> sick = false);
  }

  public void setPreemptionNotice(double seconds) {
    notice = seconds;
    changed = true;
  }

  /** Sends a report at once unless one is under way. */
  public void sendHeartbeatNow() {
    if (!reporting && !hung && !dead) {
      send();
    }
  }

  /** What the worker would report now. */
  public byte[] report() {
    return Json.toBytes(describe());
  }

  /** How often the worker has described itself, in reports and in answers. */
  public long heartbeatCount() {
    return sequence;
  }

  /** Tells that what runs is being saved, or that it runs, and does neither. */
  public void setCheckpointing(boolean saving) {
    for (Piece piece : pieces.values()) {
      if (piece.cause == null && !piece.status.equals("pulling")) {
        piece.status = saving ? "saving" : "running";
      }
    }
  }

  private void later(Duration delay, Runnable task) {
    loop.schedule(delay, () -> awake(task));
  }

  private void awake(Runnable task) {
    if (hung) {
      missed.add(() -> awake(task));
    } else if (!dead) {
      task.run();
    }
  }

  private void checkLease() {
    expire();
    later(Duration.ofMillis(100), this::checkLease);
  }

  private void expire() {
    if (loop.now().minus(leaseRenewedAt).compareTo(lease) > 0) {
      pieces.clear();
      agentEpoch++;
      leaseRenewedAt = loop.now();
      changed = true;
    }
  }

  private void cycle() {
    later(Duration.ofMillis(100), this::cycle);
    Duration since = loop.now().minus(lastReport);
    boolean due = since.compareTo(report) >= 0;
    if (!reporting && (due || changed && since.toMillis() >= 500)) {
      send();
    }
  }

  private void send() {
    reporting = true;
    changed = false;
    lastReport = loop.now();
    Duration sent = loop.now();
    long sentSession = agentEpoch;
    transport
        .send(
            nodes.get(names.get(at)),
            Request.post("/v1/report", Json.toBytes(describe())),
            ANSWER_LIMIT)
        .whenComplete((reply, failure) -> awake(() -> answered(reply, failure, sent, sentSession)));
  }

  private void answered(Reply reply, Throwable failure, Duration sent, long sentSession) {
    expire();
    try {
      JsonNode body = failure == null ? Json.parseObject(reply.body()) : null;
      if (failure == null && reply.status() == 200) {
        reporting = false;
        if (sentSession == agentEpoch && raise(body)) {
          leaseRenewedAt = leaseRenewedAt.compareTo(sent) > 0 ? leaseRenewedAt : sent;
          obey(body.path("orders"));
        }
        return;
      }
      String named = failure == null ? body.path("foreman").asText("") : "";
      int index = names.indexOf(named);
      boolean direct = index >= 0 && index != at;
      at = direct ? index : (at + 1) % names.size();
      later(
          direct ? Duration.ofMillis(random.nextInt(500)) : Duration.ofSeconds(1),
          () -> {
            reporting = false;
            changed = true;
            lastReport = Duration.ZERO;
          });
    } catch (MalformedMessageException e) {
      throw new IllegalStateException("a node's answer to a worker: " + e.getMessage());
    }
  }

  private boolean raise(JsonNode body) {
    long given = body.path("baton").longValue();
    if (!body.has("baton") || given < token) {
      return false;
    }
    changed |= given > token;
    token = given;
    return true;
  }

  private void obey(JsonNode orders) {
    for (JsonNode order : orders) {
      String task = order.path("piece").asText();
      int attempt = order.path("try").intValue();
      String key = task + "#" + attempt;
      Piece piece = pieces.get(key);
      switch (order.path("verb").asText()) {
        case "launch" -> {
          if (piece == null) {
            launch(key, new Piece(task, attempt));
          }
        }
        case "halt" -> {
          if (piece != null) {
            halt(piece, order.path("leeway_s").doubleValue());
          }
        }
        default -> {
          if (piece != null && piece.cause != null) {
            pieces.remove(key);
          }
        }
      }
    }
  }

  private void launch(String key, Piece piece) {
    boolean busy =
        pieces.values().stream()
            .anyMatch(other -> other.task.equals(piece.task) && other.cause == null);
    pieces.put(key, piece);
    Job job = jobs.apply(TaskId.parse(piece.task).jobId());
    if (job == null) {
      exit(piece, "no_such");
    } else if (busy) {
      exit(piece, "busy");
    } else {
      Duration fetch = images.contains(job.image()) ? Duration.ZERO : Duration.ofSeconds(2);
      later(
          fetch,
          () -> {
            if (pieces.get(key) == piece && piece.cause == null) {
              images.add(job.image());
              piece.status = "running";
              changed = true;
              onStart.accept(this, piece.task);
              Duration run = job.estimatedRunTime().dividedBy(2).plusMillis(random.nextLong(4000));
              boolean fails =
                  sick || job.jobClass().equals(FAILING_JOB_CLASS) || random.nextDouble() < faults;
              later(fails ? run.dividedBy(3) : run, () -> finish(key, piece, fails));
            }
          });
    }
    changed = true;
  }

  private void finish(String key, Piece piece, boolean fails) {
    if (pieces.get(key) == piece && piece.status.equals("running")) {
      exit(piece, fails ? "error" : "done");
      if (!fails) {
        onDone.accept(piece.task);
      }
    }
  }

  /** One of its running tasks completes now. */
  public void completeOneTask() {
    for (Map.Entry<String, Piece> entry : pieces.entrySet()) {
      if (entry.getValue().status.equals("running")) {
        finish(entry.getKey(), entry.getValue(), false);
        return;
      }
    }
  }

  private void halt(Piece piece, double grace) {
    Job job = jobs.apply(TaskId.parse(piece.task).jobId());
    if (piece.cause != null) {
      return;
    }
    boolean saves = job != null && !job.checkpointInterval().isZero();
    if (piece.status.equals("running")
        && saves
        && grace >= job.checkpointDuration().toMillis() / 1e3) {
      piece.status = "saving";
      changed = true;
      later(
          job.checkpointDuration(),
          () -> {
            if (piece.cause == null) {
              piece.saved = true;
              exit(piece, "stopped");
            }
          });
    } else if (!piece.status.equals("saving") || grace == 0) {
      exit(piece, "stopped");
    }
  }

  private void exit(Piece piece, String cause) {
    piece.status = "ended";
    piece.cause = cause;
    changed = true;
  }

  private ObjectNode describe() {
    sequence++;
    ObjectNode node = Json.object().put("spindle", machine.name);
    node.put("endpoint", machine.address()).put("build", machine.type.name());
    node.put("yard", machine.zone).put("loaners", machine.spot);
    node.put("shift", agentEpoch).put("tick", sequence).put("baton", token);
    node.put("warning_s", notice);
    ArrayNode list = node.putArray("pieces");
    for (Piece piece : pieces.values()) {
      ObjectNode item = list.addObject().put("piece", piece.task).put("try", piece.attempt);
      item.put("status", piece.status);
      if (piece.cause != null) {
        item.put("cause", piece.cause).put("kept", piece.saved);
      }
    }
    return node;
  }

  @Override
  public CompletableFuture<Reply> handle(Request request) {
    CompletableFuture<Reply> result = new CompletableFuture<>();
    awake(() -> result.complete(answer(request)));
    return result;
  }

  private Reply answer(Request request) {
    expire();
    if (request.path().equals("/inspect")) {
      return Reply.json(200, Json.toBytes(describe()));
    }
    try {
      JsonNode body = Json.parseObject(request.body());
      if (!body.has("baton") || !body.has("shift")) {
        return Reply.json(400, new byte[0]);
      }
      if (body.path("baton").longValue() < token || body.path("shift").longValue() != agentEpoch) {
        return Reply.json(409, Json.toBytes(describe()));
      }
      raise(body);
      obey(body.path("orders"));
      return Reply.json(200, Json.toBytes(describe()));
    } catch (MalformedMessageException e) {
      return Reply.json(400, new byte[0]);
    }
  }
}
