package review;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.cherryspool.wire.Json;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

/**
 * A worker as in "Workers -> controller nodes" and "Controller nodes -> workers" of the protocol:
 * reports to one node at a time, executes commands, and kills its tasks when its lease is over.
 */
final class Worker {
  private static final double REPLY_TIMEOUT_S = 4;
  private static final double MIN_REPORT_INTERVAL_S = 0.5;

  final String name;
  final String zone;
  private final World world;
  private final World.MachineType type;
  private final String address;
  private final Random random;
  private final Map<String, Attempt> attempts = new LinkedHashMap<>();
  private final Set<String> images = new HashSet<>();
  private long shift = 1;
  private long tick;
  private long baton;
  private double leaseFrom = Record.now();
  private double lastTokenChange = -1e9;
  private double nextReportAt;
  private double lastReportAt = -1e9;
  private boolean isChanged;
  private boolean isReporting;
  private int node;
  private boolean isMute;
  private boolean isGone;
  private double holdCommandsFor;

  /** One attempt of a task. */
  private final class Attempt {
    final String piece;
    final long number;
    final World.JobInfo job;
    String status = "pulling";
    String cause;
    double until;

    Attempt(String piece, long number, World.JobInfo job) {
      this.piece = piece;
      this.number = number;
      this.job = job;
    }

    boolean isOnMachine() {
      return status.equals("running") || status.equals("saving");
    }
  }

  Worker(World world, String name, World.MachineType type, String zone, int port, int firstNode)
      throws IOException {
    this.world = world;
    this.name = name;
    this.type = type;
    this.zone = zone;
    this.address = "127.0.0.1:" + port;
    this.node = firstNode;
    this.random = new Random(name.hashCode());
    Http.serve(port, this::handle);
    Thread thread = new Thread(this::run, name);
    thread.setDaemon(true);
    thread.start();
  }

  String address() {
    return address;
  }

  World.MachineType type() {
    return type;
  }

  /** While set, the worker can't open connections to any controller; direct calls reach it. */
  synchronized void setMute(boolean value) {
    isMute = value;
    world.record.line("%s %s", name, value ? "can't reach controllers" : "reaches controllers");
  }

  /** Holds each direct command up for this many seconds, unanswered; 0 ends this for new ones. */
  synchronized void holdCommands(double seconds) {
    holdCommandsFor = seconds;
  }

  /** The cloud has taken the machine away. */
  synchronized void remove() {
    isGone = true;
    attempts.clear();
  }

  synchronized long token() {
    return baton;
  }

  /** The pieces that are on the machine: they have their image, and their lease is not over. */
  synchronized List<String> piecesOnMachine() {
    List<String> result = new ArrayList<>();
    if (!isGone && !isLeaseOver()) {
      for (Attempt attempt : attempts.values()) {
        if (attempt.isOnMachine()) {
          result.add(attempt.piece);
        }
      }
    }
    return result;
  }

  synchronized double leaseEnd() {
    return leaseFrom + world.leaseS;
  }

  private boolean isLeaseOver() {
    return Record.now() - leaseFrom > world.leaseS;
  }

  private void run() {
    while (true) {
      synchronized (this) {
        if (isGone) {
          return;
        }
        advance();
        if (!isReporting
            && (Record.now() >= nextReportAt
                || (isChanged && Record.now() - lastReportAt >= MIN_REPORT_INTERVAL_S))) {
          isReporting = true;
          Http.THREADS.execute(this::report);
        }
      }
      pause(0.02);
    }
  }

  /** Lets time pass: the end of the lease, of image fetches and of tasks. */
  private void advance() {
    double now = Record.now();
    if (isLeaseOver()) {
      if (!attempts.isEmpty()) {
        world.record.line("%s lease over, kills %s", name, attempts.keySet());
      }
      attempts.clear();
      shift++;
      leaseFrom = now;
      isChanged = true;
    }
    for (Attempt attempt : attempts.values()) {
      if (attempt.status.equals("pulling") && now >= attempt.until) {
        images.add(attempt.job.bundle());
        attempt.status = "running";
        attempt.until = now + attempt.job.runSeconds(attempt.piece);
        isChanged = true;
        world.onStart(this, attempt.piece, attempt.number);
      } else if (attempt.status.equals("running") && now >= attempt.until) {
        end(attempt, "done");
      } else if (attempt.status.equals("saving") && now >= attempt.until) {
        end(attempt, "stopped");
      }
    }
  }

  private void end(Attempt attempt, String cause) {
    attempt.status = "ended";
    attempt.cause = cause;
    isChanged = true;
    world.taskLine("%s ended %s try %d: %s", name, attempt.piece, attempt.number, cause);
  }

  private void report() {
    ObjectNode body;
    double sentAt;
    long sentShift;
    boolean mute;
    synchronized (this) {
      body = encode();
      sentAt = Record.now();
      sentShift = shift;
      lastReportAt = sentAt;
      nextReportAt = sentAt + world.reportS * (0.75 + 0.5 * random.nextDouble());
      isChanged = false;
      mute = isMute;
    }
    Http.Answer answer;
    if (mute) {
      pause(REPLY_TIMEOUT_S);
      answer = new Http.Answer(0, Json.object());
    } else {
      answer =
          Http.call(
              "POST",
              world.nodeAddress(node),
              "/v1/report",
              body,
              (int) (REPLY_TIMEOUT_S * 1000));
    }
    boolean isLate = Record.now() - sentAt > REPLY_TIMEOUT_S;
    if (answer.status() == 200 && !isLate) {
      receive(answer.body(), sentAt, sentShift);
    } else {
      tryOtherNode(answer);
    }
    synchronized (this) {
      isReporting = false;
    }
  }

  private synchronized void receive(JsonNode body, double sentAt, long sentShift) {
    advance();
    long token = body.path("baton").longValue();
    if (isGone || sentShift != shift) {
      return;
    }
    if (!body.has("baton") || token < baton) {
      world.record.line("%s drops a response of %s, token %d", name, world.nodeName(node), token);
      return;
    }
    adopt(token);
    leaseFrom = Math.max(leaseFrom, sentAt);
    execute(body.path("orders"), "response of " + world.nodeName(node));
  }

  private void tryOtherNode(Http.Answer answer) {
    int foreman = world.nodeIndex(answer.body().path("foreman").asText(""));
    if (answer.status() == 421 && foreman >= 0 && foreman != node) {
      node = foreman;
      pause(random.nextDouble() * 0.5);
    } else {
      node = (node + 1) % world.nodeCount();
      pause(1);
    }
    synchronized (this) {
      nextReportAt = 0;
    }
  }

  /** Notes a token that is at least the highest one seen. */
  private void adopt(long token) {
    if (token > baton) {
      baton = token;
      if (Record.now() - lastTokenChange >= world.leaseS / 2) {
        lastTokenChange = Record.now();
        isChanged = true;
      }
    }
  }

  private ObjectNode encode() {
    tick++;
    ObjectNode body = Json.object().put("spindle", name).put("endpoint", address);
    body.put("build", type.name()).put("yard", zone).put("loaners", false);
    body.put("shift", shift).put("tick", tick).put("baton", baton).putNull("warning_s");
    ArrayNode pieces = body.putArray("pieces");
    for (Attempt attempt : attempts.values()) {
      ObjectNode piece = pieces.addObject().put("piece", attempt.piece);
      piece.put("try", attempt.number).put("status", attempt.status);
      if (attempt.cause != null) {
        piece.put("cause", attempt.cause);
      }
    }
    return body;
  }

  private Http.Answer handle(String method, String target, byte[] bytes) throws Exception {
    if (target.equals("/inspect")) {
      synchronized (this) {
        if (isGone) {
          return null;
        }
        advance();
        ObjectNode body = encode();
        world.taskLine("%s /inspect: shift %d tick %d baton %d", name, shift, tick, baton);
        return Http.answer(200, body);
      }
    }
    JsonNode body = Json.parseObject(bytes);
    double hold;
    synchronized (this) {
      hold = holdCommandsFor;
    }
    if (hold > 0) {
      world.record.line("%s /commands held up for %.1f s: %s", name, hold, body);
      pause(hold);
      command(body);
      return null;
    }
    return command(body);
  }

  private synchronized Http.Answer command(JsonNode body) {
    if (isGone) {
      return null;
    }
    advance();
    if (!body.has("baton") || !body.has("shift")) {
      return Http.answer(400, Json.object());
    }
    long token = body.path("baton").longValue();
    if (token < baton || body.path("shift").longValue() != shift) {
      world.taskLine("%s /commands 409: %s", name, body);
      return Http.answer(409, encode());
    }
    adopt(token);
    world.taskLine("%s /commands 200: %s", name, body);
    execute(body.path("orders"), "direct call");
    return Http.answer(200, encode());
  }

  private void execute(JsonNode orders, String source) {
    for (JsonNode order : orders) {
      String piece = order.path("piece").asText();
      long number = order.path("try").longValue();
      String key = piece + "#" + number;
      Attempt attempt = attempts.get(key);
      String verb = order.path("verb").asText();
      world.taskLine("%s %s %s by %s", name, verb, key, source);
      if (verb.equals("launch") && attempt == null) {
        launch(key, piece, number);
      } else if (verb.equals("halt") && attempt != null && attempt.cause == null) {
        halt(attempt, order.path("leeway_s").doubleValue());
      } else if (verb.equals("forget") && attempt != null && attempt.cause != null) {
        attempts.remove(key);
        isChanged = true;
      }
    }
  }

  private void halt(Attempt attempt, double leeway) {
    boolean saves = attempt.job.bookmarkS() > 0 && leeway >= attempt.job.stashS();
    if (attempt.status.equals("running") && saves) {
      attempt.status = "saving";
      attempt.until = Record.now() + attempt.job.stashS();
      isChanged = true;
    } else if (!attempt.status.equals("saving") || leeway == 0) {
      end(attempt, "stopped");
    }
  }

  private void launch(String key, String piece, long number) {
    World.JobInfo job = world.job(piece.substring(0, piece.indexOf('/')));
    Attempt attempt = new Attempt(piece, number, job);
    double used = 0;
    boolean isPresent = false;
    for (Attempt other : attempts.values()) {
      if (other.cause == null) {
        used += other.job.cpus();
        isPresent |= other.piece.equals(piece);
      }
    }
    attempts.put(key, attempt);
    isChanged = true;
    if (job == null) {
      end(attempt, "no_such");
    } else if (isPresent) {
      end(attempt, "busy");
    } else if (used + job.cpus() > type.cpus()) {
      end(attempt, "no_room");
    } else {
      attempt.until = Record.now() + (images.contains(job.bundle()) ? 0 : world.fetchS);
    }
  }

  private static void pause(double seconds) {
    try {
      Thread.sleep((long) (seconds * 1000));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
