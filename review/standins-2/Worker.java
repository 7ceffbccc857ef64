import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.http.HttpClient;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A stand-in for the worker of one machine. */
final class Worker {
  private static final class Attempt {
    String task;
    int number;
    String status = "pulling";
    String cause;
    double nextAt;
    boolean isOn;
    Boolean kept;
  }

  private final Platform platform;
  private final Platform.Machine machine;
  private final Recorder recorder;
  private final Judge judge;
  private final HttpServer server;
  private final HttpClient client = Http.client();
  private final Map<String, Attempt> attempts = new LinkedHashMap<>();
  private final Map<String, Double> images = new HashMap<>();
  private final List<String> names;
  private int current;
  private long shift = 1;
  private long tick;
  private long baton;
  private double leaseFrom;
  private boolean isChanged;
  private boolean isEnded;
  private volatile boolean isSilent;
  int leasesLost;
  int refusedReports;
  int largestReport;

  Worker(Platform platform, Platform.Machine machine) throws IOException {
    this.platform = platform;
    this.machine = machine;
    this.recorder = platform.recorder;
    this.judge = platform.judge;
    this.names = new ArrayList<>(platform.controllers.keySet());
    this.server = Http.serve(this::handle);
    this.current = Math.floorMod(machine.name.hashCode(), names.size());
    this.leaseFrom = recorder.now();
  }

  String address() {
    return Http.address(server);
  }

  void start() {
    Http.THREADS.execute(this::reportLoop);
    Http.THREADS.execute(this::taskLoop);
  }

  /** The machine is gone with everything on it. */
  synchronized void end() {
    isEnded = true;
    for (Attempt attempt : attempts.values()) {
      leave(attempt, "machine gone");
    }
    attempts.clear();
    server.stop(0);
  }

  /** The machine is taken away: all on it is gone, and it says nothing any more. */
  synchronized void vanish() {
    isSilent = true;
    isEnded = true;
    for (Attempt attempt : attempts.values()) {
      leave(attempt, "machine taken");
    }
    attempts.clear();
  }

  /** Whether one more task of the job fits beside what is on the machine. */
  synchronized boolean hasRoomFor(JsonNode job) {
    double cpus = job.path("vcpus").asDouble();
    double memory = job.path("mem_gb").asDouble();
    for (Attempt attempt : attempts.values()) {
      if (!attempt.status.equals("ended")) {
        JsonNode other = judge.job(attempt.task.substring(0, attempt.task.indexOf('/')));
        cpus += other.path("vcpus").asDouble();
        memory += other.path("mem_gb").asDouble();
      }
    }
    return !isEnded && cpus <= machine.type.vcpus() && memory <= machine.type.memGb();
  }

  private void leave(Attempt attempt, String why) {
    if (attempt.isOn) {
      attempt.isOn = false;
      judge.offMachine(attempt.task, machine.name, why);
    }
  }

  private synchronized void checkLease() {
    if (!isEnded && recorder.now() - leaseFrom > platform.leaseS) {
      leasesLost++;
      recorder.add(
          "worker %s: lease expired, session %d ends, %d tasks killed",
          machine.name, shift, attempts.size());
      for (Attempt attempt : attempts.values()) {
        leave(attempt, "lease expired");
      }
      attempts.clear();
      shift++;
      leaseFrom = recorder.now();
      isChanged = true;
    }
  }

  private void taskLoop() {
    try {
      while (!isEnded) {
        checkLease();
        synchronized (this) {
          for (Attempt attempt : new ArrayList<>(attempts.values())) {
            advance(attempt);
          }
        }
        Thread.sleep(25);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void advance(Attempt attempt) {
    if (isEnded || recorder.now() < attempt.nextAt) {
      return;
    }
    String id = attempt.task.substring(0, attempt.task.indexOf('/'));
    switch (attempt.status) {
      case "pulling" -> {
        attempt.status = "running";
        attempt.isOn = true;
        // The result of a task that was done before is kept.
        attempt.nextAt =
            recorder.now() + (judge.isDone(attempt.task) ? 0 : judge.runSeconds.get(id));
        judge.onMachine(attempt.task, machine);
        isChanged = true;
      }
      case "running" -> exit(attempt, judge.runSeconds.get(id) < 0 ? "error" : "done");
      case "saving" -> {
        attempt.kept = true;
        exit(attempt, "stopped");
      }
      default -> {
        // The attempt has ended.
      }
    }
  }

  private void exit(Attempt attempt, String cause) {
    attempt.status = "ended";
    attempt.cause = cause;
    leave(attempt, cause);
    isChanged = true;
  }

  private synchronized byte[] report() {
    tick++;
    ObjectNode node = Json.object().put("spindle", machine.name).put("endpoint", address());
    node.put("build", machine.type.name()).put("yard", machine.yard);
    node.put("loaners", machine.isSpot).put("shift", shift).put("tick", tick).put("baton", baton);
    node.putNull("warning_s");
    ArrayNode pieces = node.putArray("pieces");
    for (Attempt attempt : attempts.values()) {
      ObjectNode item = pieces.addObject().put("piece", attempt.task).put("try", attempt.number);
      item.put("status", attempt.status);
      if (attempt.cause != null) {
        item.put("cause", attempt.cause);
      }
      if (attempt.kept != null) {
        item.put("kept", attempt.kept);
      }
    }
    byte[] text = Json.bytes(node);
    largestReport = Math.max(largestReport, text.length);
    return text;
  }

  private void reportLoop() {
    double nextAt = 0;
    double lastAt = -1;
    long seenBaton = 0;
    double batonChangeAt = 0;
    try {
      while (!isEnded) {
        boolean isDue = recorder.now() >= nextAt;
        synchronized (this) {
          if (baton > seenBaton && recorder.now() - batonChangeAt > platform.leaseS / 2) {
            isChanged = true;
            batonChangeAt = recorder.now();
          }
          seenBaton = baton;
          if (isChanged && recorder.now() - lastAt > 0.5) {
            isDue = true;
          }
        }
        if (!isDue) {
          Thread.sleep(20);
          continue;
        }
        checkLease();
        lastAt = recorder.now();
        double pause = sendReport();
        nextAt = pause >= 0 ? recorder.now() + pause : lastAt + platform.reportS;
        if (pause >= 0) {
          Thread.sleep((long) (1000 * pause));
          nextAt = 0;
        }
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Sends a report; returns the seconds until the next try elsewhere, or -1 if it was answered. */
  private double sendReport() throws InterruptedException {
    String name = names.get(current);
    double sentAt = recorder.now();
    long sentShift = shift;
    byte[] body = report();
    synchronized (this) {
      isChanged = false;
    }
    Http.Answer answer =
        Http.send(client, "POST", platform.controllers.get(name), "/v1/report", body, 4.0);
    checkLease();
    if (isEnded) {
      return -1;
    }
    if (answer != null && answer.status() == 421) {
      String foreman = tryParse(answer.body()).path("foreman").asText("");
      int index = names.indexOf(foreman);
      if (index >= 0 && index != current) {
        current = index;
        return 0.1;
      }
    }
    if (answer == null || answer.status() != 200) {
      if (answer != null && answer.status() != 421 && answer.status() != 503) {
        refusedReports++;
        recorder.add(
            "worker %s: report of %d bytes to %s answered %d",
            machine.name, body.length, name, answer.status());
      }
      current = (current + 1) % names.size();
      return 1;
    }
    if (isTooLong(answer.body(), "answer to its report")) {
      return -1;
    }
    JsonNode reply = tryParse(answer.body());
    synchronized (this) {
      if (recorder.now() - sentAt <= 4
          && sentShift == shift
          && reply.has("baton")
          && reply.path("baton").asLong() >= baton) {
        baton = reply.path("baton").asLong();
        leaseFrom = Math.max(leaseFrom, sentAt);
        execute(reply.path("orders"));
      }
    }
    return -1;
  }

  /** Whether the text has more than the 64 KiB of the protocol; all of it is one line. */
  private boolean isTooLong(byte[] text, String what) {
    if (text.length <= 64 * 1024) {
      return false;
    }
    recorder.add("worker %s: dropped an %s of %d bytes", machine.name, what, text.length);
    judge.breakRule("64 KiB", what + " of " + text.length + " bytes to " + machine.name);
    return true;
  }

  private static JsonNode tryParse(byte[] text) {
    try {
      return Json.parse(text);
    } catch (IOException e) {
      return Json.object();
    }
  }

  private Http.Answer handle(String method, String path, String query, byte[] body)
      throws Exception {
    while (isSilent && !machine.isGone) {
      Thread.sleep(50);
    }
    if (isEnded) {
      return null;
    }
    checkLease();
    if (path.equals("/inspect")) {
      return new Http.Answer(200, report());
    }
    if (isTooLong(body, "request")) {
      return Http.Answer.error(400, "a request body holds at most 64 KiB");
    }
    JsonNode node = tryParse(body);
    if (!node.has("baton") || !node.has("shift")) {
      return Http.Answer.error(400, "malformed");
    }
    synchronized (this) {
      if (node.path("baton").asLong() < baton || node.path("shift").asLong() != shift) {
        return new Http.Answer(409, report());
      }
      baton = node.path("baton").asLong();
      execute(node.path("orders"));
      return new Http.Answer(200, report());
    }
  }

  private void execute(JsonNode orders) {
    for (JsonNode order : orders) {
      String task = order.path("piece").asText();
      int number = order.path("try").asInt();
      String key = task + "#" + number;
      Attempt attempt = attempts.get(key);
      switch (order.path("verb").asText()) {
        case "launch" -> {
          if (attempt == null) {
            launch(task, number, key);
          }
        }
        case "halt" -> {
          if (attempt != null) {
            halt(attempt, order.path("leeway_s").asDouble());
          }
        }
        default -> {
          if (attempt != null && attempt.status.equals("ended")) {
            attempts.remove(key);
            isChanged = true;
          }
        }
      }
    }
  }

  private void launch(String task, int number, String key) {
    Attempt attempt = new Attempt();
    attempt.task = task;
    attempt.number = number;
    String id = task.substring(0, task.indexOf('/'));
    JsonNode job = judge.job(id);
    double cpus = 0;
    double memory = 0;
    boolean isBusy = false;
    for (Attempt other : attempts.values()) {
      if (!other.status.equals("ended")) {
        JsonNode otherJob = judge.job(other.task.substring(0, other.task.indexOf('/')));
        cpus += otherJob.path("vcpus").asDouble();
        memory += otherJob.path("mem_gb").asDouble();
        isBusy |= other.task.equals(task);
      }
    }
    attempts.put(key, attempt);
    isChanged = true;
    if (job == null) {
      exit(attempt, "no_such");
    } else if (isBusy) {
      exit(attempt, "busy");
    } else if (cpus + job.path("vcpus").asDouble() > machine.type.vcpus() + 1e-6
        || memory + job.path("mem_gb").asDouble() > machine.type.memGb() + 1e-6) {
      exit(attempt, "no_room");
    } else {
      double ready =
          images.computeIfAbsent(
              job.path("bundle").asText(),
              image ->
                  recorder.now() + job.path("size_gb").asDouble() / machine.type.fetchGbPerS());
      attempt.nextAt = Math.max(recorder.now(), ready);
    }
  }

  private void halt(Attempt attempt, double leewayS) {
    if (attempt.status.equals("ended")) {
      return;
    }
    String id = attempt.task.substring(0, attempt.task.indexOf('/'));
    JsonNode job = judge.job(id);
    boolean maySave =
        attempt.status.equals("running")
            && job.path("bookmark_s").asDouble() > 0
            && leewayS >= job.path("stash_s").asDouble();
    if (maySave) {
      attempt.status = "saving";
      attempt.nextAt = recorder.now() + job.path("stash_s").asDouble();
      isChanged = true;
    } else if (!attempt.status.equals("saving") || leewayS == 0) {
      exit(attempt, "stopped");
    }
  }
}
