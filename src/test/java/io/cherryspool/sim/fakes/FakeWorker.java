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
 * A fake worker agent without real tasks. It sends heartbeats, executes commands, and kills its
 * tasks when its lease expires. Tests can make it hang for a while.
 *
 * <p>All methods must be called on the event loop.
 */
public final class FakeWorker implements RequestHandler {
  /** All tasks of jobs of this class fail. */
  public static final String FAILING_JOB_CLASS = "broken";

  private static final Duration REPLY_TIMEOUT = Duration.ofSeconds(4);
  private static final Duration CHECK_INTERVAL = Duration.ofMillis(100);

  /** The minimum time between the last heartbeat and one that reports a change. */
  private static final Duration MIN_HEARTBEAT_INTERVAL = Duration.ofMillis(500);

  private static final Duration RETRY_DELAY = Duration.ofSeconds(1);
  private static final int MAX_REDIRECT_DELAY_MS = 500;

  private final EventLoop loop;
  private final HangableLoop hangableLoop;
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
  private boolean isAwaitingReply;
  private boolean hasChanges;
  private Double preemptionNoticeSeconds;

  /** Creates and starts a worker. Its first heartbeat goes to a random controller. */
  public FakeWorker(
      EventLoop loop,
      RandomGenerator random,
      Transport transport,
      FakeCloud.Machine machine,
      Map<String, Endpoint> controllers,
      WorkerSettings settings,
      Workload workload) {
    this.loop = loop;
    this.hangableLoop = new HangableLoop(loop);
    this.random = random;
    this.transport = transport;
    this.machine = machine;
    this.controllers = controllers;
    this.controllerNames = List.copyOf(controllers.keySet());
    this.settings = settings;
    this.tasks = new WorkerTasks(this, random, workload, settings.failureProbability());
    this.leaseRenewedAt = loop.now();
    this.currentController = random.nextInt(controllerNames.size());
    hangableLoop.schedule(Duration.ZERO, this::sendHeartbeatIfDue);
    hangableLoop.schedule(Duration.ZERO, this::checkLease);
  }

  /** Returns the agent epoch, which is 1 at first and increases with each expired lease. */
  public long agentEpoch() {
    return agentEpoch;
  }

  public FakeCloud.Machine machine() {
    return machine;
  }

  /**
   * Returns the tasks that users consider running: they have fetched their image and have not
   * exited. A machine that hangs beyond the end of its lease has none, since it kills its tasks
   * before it does anything else.
   */
  public List<String> runningTasks() {
    return hangableLoop.isHung() && isLeaseExpired() ? List.of() : tasks.running();
  }

  /** Returns the tasks that use resources of the machine, including those fetching their image. */
  public List<String> assignedTasks() {
    return tasks.assigned();
  }

  /** Returns when the lease began: at the last heartbeat that renewed it, or with the epoch. */
  public Duration leaseRenewedAt() {
    return leaseRenewedAt;
  }

  /** Kills the machine with its tasks. The worker sends and executes nothing afterwards. */
  public void kill() {
    hangableLoop.kill();
    tasks.killAll();
  }

  /** Hangs for the given time. Events during that time are processed afterwards, in order. */
  public void hang(Duration duration) {
    hangableLoop.hang(duration, this::expireLeaseIfDue);
  }

  /** Makes all tasks fail that start within this time. */
  public void failTasksFor(Duration duration) {
    tasks.setFailsAllTasks(true);
    loop.schedule(duration, () -> tasks.setFailsAllTasks(false));
  }

  /** From now on reports in heartbeats that the machine will be preempted in this many seconds. */
  public void setPreemptionNotice(double seconds) {
    preemptionNoticeSeconds = seconds;
    hasChanges = true;
  }

  /** Sends a heartbeat immediately, unless a previous one still awaits its reply. */
  public void sendHeartbeatNow() {
    if (!isAwaitingReply && hangableLoop.isRunning()) {
      sendHeartbeat();
    }
  }

  /** Returns the body of the next heartbeat. */
  public byte[] heartbeatBody() {
    return Json.toBytes(encodeHeartbeat());
  }

  /** Returns the number of encoded heartbeats, including those in responses to requests. */
  public long heartbeatCount() {
    return sequence;
  }

  /** Sets whether heartbeats report running tasks as saving a checkpoint, although they are not. */
  public void pretendCheckpointing(boolean value) {
    tasks.pretendCheckpointing(value);
  }

  /** Completes one of the running tasks now. */
  public void completeOneTask() {
    tasks.completeOne();
  }

  /** Called when the contents of heartbeats have changed, so that the next one is due soon. */
  void markChanged() {
    hasChanges = true;
  }

  /** Runs the event after the delay, but not while the worker hangs and not once it is killed. */
  void schedule(Duration delay, Runnable event) {
    hangableLoop.schedule(delay, event);
  }

  private void checkLease() {
    expireLeaseIfDue();
    schedule(CHECK_INTERVAL, this::checkLease);
  }

  private boolean isLeaseExpired() {
    return loop.now().minus(leaseRenewedAt).compareTo(settings.lease()) > 0;
  }

  private void expireLeaseIfDue() {
    if (isLeaseExpired()) {
      tasks.killAll();
      agentEpoch++;
      leaseRenewedAt = loop.now();
      hasChanges = true;
    }
  }

  private void sendHeartbeatIfDue() {
    schedule(CHECK_INTERVAL, this::sendHeartbeatIfDue);
    Duration since = loop.now().minus(lastHeartbeatAt);
    boolean isDue = since.compareTo(settings.heartbeatInterval()) >= 0;
    boolean isChangeDue = hasChanges && since.compareTo(MIN_HEARTBEAT_INTERVAL) >= 0;
    if (!isAwaitingReply && (isDue || isChangeDue)) {
      sendHeartbeat();
    }
  }

  private void sendHeartbeat() {
    isAwaitingReply = true;
    hasChanges = false;
    lastHeartbeatAt = loop.now();
    Duration sentAt = loop.now();
    long sentEpoch = agentEpoch;
    Endpoint controller = controllers.get(controllerNames.get(currentController));
    transport
        .send(controller, Request.post("/v1/report", heartbeatBody()), REPLY_TIMEOUT)
        .whenComplete(
            (reply, failure) ->
                hangableLoop.run(() -> processReply(reply, failure, sentAt, sentEpoch)));
  }

  private void processReply(Reply reply, Throwable failure, Duration sentAt, long sentEpoch) {
    expireLeaseIfDue();
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
      isAwaitingReply = false;
      if (sentEpoch == agentEpoch && acceptToken(body)) {
        leaseRenewedAt = leaseRenewedAt.compareTo(sentAt) > 0 ? leaseRenewedAt : sentAt;
        tasks.execute(body.path("orders"));
      }
    } catch (MalformedMessageException e) {
      throw new IllegalStateException(
          "malformed response of a controller to a worker: " + e.getMessage());
    }
  }

  /** Selects the controller for the next heartbeat: the named leader, or else the next one. */
  private void tryOtherController(String leader) {
    int index = controllerNames.indexOf(leader);
    boolean isRedirect = index >= 0 && index != currentController;
    currentController = isRedirect ? index : (currentController + 1) % controllerNames.size();
    Duration delay =
        isRedirect ? Duration.ofMillis(random.nextInt(MAX_REDIRECT_DELAY_MS)) : RETRY_DELAY;
    schedule(
        delay,
        () -> {
          isAwaitingReply = false;
          hasChanges = true;
          lastHeartbeatAt = Duration.ZERO;
        });
  }

  /** Stores a message's fencing token unless it is outdated; returns whether it is current. */
  private boolean acceptToken(JsonNode body) {
    long token = body.path("baton").longValue();
    if (!body.has("baton") || token < fencingToken) {
      return false;
    }
    hasChanges |= token > fencingToken;
    fencingToken = token;
    return true;
  }

  private ObjectNode encodeHeartbeat() {
    sequence++;
    ObjectNode node = Json.object().put("spindle", machine.name());
    node.put("endpoint", machine.address()).put("build", machine.type().name());
    node.put("yard", machine.zone()).put("loaners", machine.isSpot());
    node.put("shift", agentEpoch).put("tick", sequence).put("baton", fencingToken);
    node.put("warning_s", preemptionNoticeSeconds);
    node.set("pieces", tasks.encode());
    return node;
  }

  @Override
  public CompletableFuture<Reply> handle(Request request) {
    CompletableFuture<Reply> result = new CompletableFuture<>();
    hangableLoop.run(() -> result.complete(respond(request)));
    return result;
  }

  private Reply respond(Request request) {
    expireLeaseIfDue();
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
