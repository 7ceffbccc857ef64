package io.cherryspool.sim.fakes;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.cherryspool.http.Endpoint;
import io.cherryspool.http.Reply;
import io.cherryspool.http.Request;
import io.cherryspool.http.RequestHandler;
import io.cherryspool.http.Transport;
import io.cherryspool.lifecycle.EventLoop;
import io.cherryspool.wire.Json;
import io.cherryspool.wire.MalformedMessageException;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.random.RandomGenerator;

/**
 * A working worker agent without real tasks: it sends heartbeats, carries out commands, and kills
 * its tasks when its lease expires. It can hang and go on later.
 *
 * <p>All methods must be called on the event loop.
 */
public final class FakeWorker implements RequestHandler {
  /** Tasks of jobs of this class always fail. */
  public static final String FAILING_JOB_CLASS = "broken";

  private static final Duration REPLY_TIMEOUT = Duration.ofSeconds(4);
  private static final Duration CHECK_INTERVAL = Duration.ofMillis(100);

  /** What has changed is sent no earlier than this after the last heartbeat. */
  private static final Duration MIN_HEARTBEAT_INTERVAL = Duration.ofMillis(500);

  private static final Duration RETRY_DELAY = Duration.ofSeconds(1);
  private static final int MAX_REDIRECT_DELAY_MS = 500;

  private final EventLoop loop;
  private final HangableLoop ownLoop;
  private final RandomGenerator random;
  private final Transport transport;
  private final FakeCloud.Machine machine;
  private final Map<String, Endpoint> controllers;
  private final List<String> controllerNames;
  private final WorkerSettings settings;
  private final WorkerTasks tasks;
  private int currentController;
  private long agentEpoch = 1;
  private long sequence;
  private long fencingToken;
  private Duration leaseRenewedAt;
  private Duration lastHeartbeatAt = Duration.ZERO;
  private boolean awaitingReply;
  private boolean changed;
  private Double preemptionNoticeSeconds;

  /** Starts at once; the first heartbeat goes to a random one of the controllers. */
  public FakeWorker(
      EventLoop loop,
      RandomGenerator random,
      Transport transport,
      FakeCloud.Machine machine,
      Map<String, Endpoint> controllers,
      WorkerSettings settings,
      Workload workload) {
    this.loop = loop;
    this.ownLoop = new HangableLoop(loop);
    this.random = random;
    this.transport = transport;
    this.machine = machine;
    this.controllers = controllers;
    this.controllerNames = List.copyOf(controllers.keySet());
    this.settings = settings;
    this.tasks = new WorkerTasks(this, random, workload, settings.failureProbability());
    this.leaseRenewedAt = loop.now();
    this.currentController = random.nextInt(controllerNames.size());
    ownLoop.schedule(Duration.ZERO, this::checkHeartbeat);
    ownLoop.schedule(Duration.ZERO, this::checkLease);
  }

  /** 1 at first, and one more with each lease that has expired. */
  public long agentEpoch() {
    return agentEpoch;
  }

  public FakeCloud.Machine machine() {
    return machine;
  }

  /**
   * The tasks that run, by the users' rules: with their image, and not exited. A machine that hangs
   * past its lease has none, since it kills them before it does anything else.
   */
  public List<String> runningTasks() {
    return ownLoop.isHung() && isLeaseExpired() ? List.of() : tasks.running();
  }

  /** The tasks that take resources of the machine: those that fetch their image, too. */
  public List<String> assignedTasks() {
    return tasks.assigned();
  }

  /** When the last heartbeat that was answered was sent, or the agent's epoch began. */
  public Duration leaseRenewedAt() {
    return leaseRenewedAt;
  }

  /** Ends the machine with its tasks; nothing it does is seen any more. */
  public void kill() {
    ownLoop.kill();
    tasks.clear();
  }

  /** Does nothing for so long; what arrives meanwhile is processed afterwards, in order. */
  public void hang(Duration duration) {
    ownLoop.hang(duration, this::expireLease);
  }

  /** Tasks that start within this time fail. */
  public void failTasksFor(Duration length) {
    tasks.setFailing(true);
    loop.schedule(length, () -> tasks.setFailing(false));
  }

  /** From now on heartbeats say that the machine will be preempted in so many seconds. */
  public void setPreemptionNotice(double seconds) {
    preemptionNoticeSeconds = seconds;
    changed = true;
  }

  /** Sends a heartbeat at once unless one is unanswered. */
  public void sendHeartbeatNow() {
    if (!awaitingReply && ownLoop.isRunning()) {
      sendHeartbeat();
    }
  }

  /** The body of the heartbeat that would be sent now. */
  public byte[] heartbeatBody() {
    return Json.toBytes(describe());
  }

  /** How often the worker has described itself, in heartbeats and in answers to requests. */
  public long heartbeatCount() {
    return sequence;
  }

  /** Heartbeats say of the running tasks that they save a checkpoint, or run; they do neither. */
  public void reportCheckpointing(boolean value) {
    tasks.pretendCheckpointing(value);
  }

  /** One of its running tasks completes now. */
  public void completeOneTask() {
    tasks.completeOne();
  }

  /** What heartbeats say has changed, so that the next one is due soon. */
  void markChanged() {
    changed = true;
  }

  /** Runs the event later, unless the worker is dead by then, and not while it hangs. */
  void schedule(Duration delay, Runnable event) {
    ownLoop.schedule(delay, event);
  }

  private void checkLease() {
    expireLease();
    schedule(CHECK_INTERVAL, this::checkLease);
  }

  private boolean isLeaseExpired() {
    return loop.now().minus(leaseRenewedAt).compareTo(settings.lease()) > 0;
  }

  private void expireLease() {
    if (isLeaseExpired()) {
      tasks.clear();
      agentEpoch++;
      leaseRenewedAt = loop.now();
      changed = true;
    }
  }

  private void checkHeartbeat() {
    schedule(CHECK_INTERVAL, this::checkHeartbeat);
    Duration since = loop.now().minus(lastHeartbeatAt);
    boolean isDue = since.compareTo(settings.heartbeatInterval()) >= 0;
    boolean isNewsDue = changed && since.compareTo(MIN_HEARTBEAT_INTERVAL) >= 0;
    if (!awaitingReply && (isDue || isNewsDue)) {
      sendHeartbeat();
    }
  }

  private void sendHeartbeat() {
    awaitingReply = true;
    changed = false;
    lastHeartbeatAt = loop.now();
    Duration sentAt = loop.now();
    long sentEpoch = agentEpoch;
    Endpoint controller = controllers.get(controllerNames.get(currentController));
    transport
        .send(controller, Request.post("/v1/report", heartbeatBody()), REPLY_TIMEOUT)
        .whenComplete(
            (reply, failure) -> ownLoop.run(() -> processReply(reply, failure, sentAt, sentEpoch)));
  }

  private void processReply(Reply reply, Throwable failure, Duration sentAt, long sentEpoch) {
    expireLease();
    try {
      if (failure != null) {
        tryOtherController("");
        return;
      }
      JsonNode body = Json.parseObject(reply.body());
      if (reply.status() != 200) {
        tryOtherController(body.path("foreman").asText(""));
        return;
      }
      awaitingReply = false;
      if (sentEpoch == agentEpoch && acceptToken(body)) {
        leaseRenewedAt = leaseRenewedAt.compareTo(sentAt) > 0 ? leaseRenewedAt : sentAt;
        tasks.execute(body.path("orders"));
      }
    } catch (MalformedMessageException e) {
      throw new IllegalStateException("a controller's answer to a worker: " + e.getMessage());
    }
  }

  /** Turns to the controller that was named as leader, or to the next one. */
  private void tryOtherController(String leader) {
    int index = controllerNames.indexOf(leader);
    boolean isRedirect = index >= 0 && index != currentController;
    currentController = isRedirect ? index : (currentController + 1) % controllerNames.size();
    Duration delay =
        isRedirect ? Duration.ofMillis(random.nextInt(MAX_REDIRECT_DELAY_MS)) : RETRY_DELAY;
    schedule(
        delay,
        () -> {
          awaitingReply = false;
          changed = true;
          lastHeartbeatAt = Duration.ZERO;
        });
  }

  /** Whether the message's fencing token is not older than the newest one seen. */
  private boolean acceptToken(JsonNode body) {
    long token = body.path("baton").longValue();
    if (!body.has("baton") || token < fencingToken) {
      return false;
    }
    changed |= token > fencingToken;
    fencingToken = token;
    return true;
  }

  private ObjectNode describe() {
    sequence++;
    ObjectNode node = Json.object().put("spindle", machine.name());
    node.put("endpoint", machine.address()).put("build", machine.type().name());
    node.put("yard", machine.zone()).put("loaners", machine.isSpot());
    node.put("shift", agentEpoch).put("tick", sequence).put("baton", fencingToken);
    node.put("warning_s", preemptionNoticeSeconds);
    node.set("pieces", tasks.describe());
    return node;
  }

  @Override
  public CompletableFuture<Reply> handle(Request request) {
    CompletableFuture<Reply> result = new CompletableFuture<>();
    ownLoop.run(() -> result.complete(answer(request)));
    return result;
  }

  private Reply answer(Request request) {
    expireLease();
    if (request.path().equals("/inspect")) {
      return Reply.json(200, heartbeatBody());
    }
    try {
      JsonNode body = Json.parseObject(request.body());
      if (!body.has("baton") || !body.has("shift")) {
        return Reply.json(400, new byte[0]);
      }
      boolean isStale = body.path("baton").longValue() < fencingToken;
      if (isStale || body.path("shift").longValue() != agentEpoch) {
        return Reply.json(409, heartbeatBody());
      }
      acceptToken(body);
      tasks.execute(body.path("orders"));
      return Reply.json(200, heartbeatBody());
    } catch (MalformedMessageException e) {
      return Reply.json(400, new byte[0]);
    }
  }
}
