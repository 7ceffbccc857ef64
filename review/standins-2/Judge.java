import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Knows the submitted jobs and what is on the machines, and checks the rules of the protocol. */
final class Judge {
  private record Run(String machine, String yard) {}

  private final Recorder recorder;
  private final double cancelS;
  final Map<String, JsonNode> jobs = new HashMap<>();
  final Map<String, Double> runSeconds = new HashMap<>();
  private final Map<String, List<Run>> runs = new HashMap<>();
  private final Map<String, Double> cancelledAt = new HashMap<>();
  private final Map<String, Integer> done = new HashMap<>();
  private final Map<String, Double> teamLimits = new HashMap<>();
  final Map<String, String> broken = new LinkedHashMap<>();
  int starts;

  Judge(Recorder recorder, double cancelS) {
    this.recorder = recorder;
    this.cancelS = cancelS;
  }

  synchronized void limit(String team, double cpus) {
    teamLimits.put(team, cpus);
  }

  synchronized void upload(JsonNode job, double runS) {
    jobs.put(job.path("ref").asText(), job);
    runSeconds.put(job.path("ref").asText(), runS);
  }

  synchronized JsonNode job(String id) {
    return jobs.get(id);
  }

  synchronized void confirmCancelled(String id) {
    cancelledAt.putIfAbsent(id, recorder.now());
  }

  synchronized void onMachine(String task, Platform.Machine host) {
    String machine = host.name;
    starts++;
    List<Run> list = runs.computeIfAbsent(task, key -> new ArrayList<>());
    recorder.add("run: %s starts on %s", task, machine);
    if (!list.isEmpty()) {
      breakRule("ran_twice", task + " starts on " + machine + " while it is on " + list);
    }
    list.add(new Run(machine, host.yard));
    checkPlace(task, host);
    String id = task.substring(0, task.indexOf('/'));
    Double cancelled = cancelledAt.get(id);
    if (cancelled != null && recorder.now() - cancelled > cancelS) {
      breakRule("ran_cancelled", task + " starts");
    }
    String team = jobs.get(id).path("owner").asText();
    Double limit = teamLimits.get(team);
    if (limit != null) {
      double used = 0;
      for (Map.Entry<String, List<Run>> entry : runs.entrySet()) {
        JsonNode job = jobs.get(entry.getKey().substring(0, entry.getKey().indexOf('/')));
        if (job.path("owner").asText().equals(team)) {
          used += entry.getValue().size() * job.path("vcpus").asDouble();
        }
      }
      if (used > limit + 1e-6) {
        breakRule("quota", team + " uses " + used);
      }
    }
  }

  private void checkPlace(String task, Platform.Machine host) {
    String id = task.substring(0, task.indexOf('/'));
    JsonNode job = jobs.get(id);
    boolean isAllowed =
        (job.path("yard").isNull() || job.path("yard").asText().equals(host.yard))
            && (job.path("loaners").asBoolean() || !host.isSpot);
    int here = 0;
    int elsewhere = 0;
    for (Map.Entry<String, List<Run>> entry : runs.entrySet()) {
      if (entry.getKey().startsWith(id + "/")) {
        for (Run run : entry.getValue()) {
          here += run.yard.equals(host.yard) ? 1 : 0;
          elsewhere += run.yard.equals(host.yard) ? 0 : 1;
        }
      }
    }
    isAllowed &= !job.path("together").asBoolean() || elsewhere == 0;
    isAllowed &= !job.path("scatter").asBoolean() || here <= (job.path("pieces").asInt() + 1) / 2;
    if (!isAllowed) {
      breakRule("wrong_place", task + " starts on " + machineText(host));
    }
  }

  private static String machineText(Platform.Machine host) {
    return host.name + " in " + host.yard + ", spot " + host.isSpot;
  }

  synchronized void offMachine(String task, String machine, String why) {
    List<Run> list = runs.get(task);
    if (list != null && list.removeIf(run -> run.machine.equals(machine))) {
      recorder.add("run: %s is off %s: %s", task, machine, why);
      if (why.equals("done")) {
        done.merge(task, 1, Integer::sum);
      }
    }
  }

  synchronized boolean isDone(String task) {
    return done.containsKey(task);
  }

  synchronized int doneTasks(String id) {
    int count = 0;
    for (String task : done.keySet()) {
      count += task.startsWith(id + "/") ? 1 : 0;
    }
    return count;
  }

  synchronized int runningTasks(String id) {
    int count = 0;
    for (Map.Entry<String, List<Run>> entry : runs.entrySet()) {
      count += entry.getKey().startsWith(id + "/") ? entry.getValue().size() : 0;
    }
    return count;
  }

  /** Checks that nothing of a cancelled job is left after the time that a cancellation has. */
  synchronized void checkCancelled() {
    cancelledAt.forEach(
        (id, at) -> {
          if (recorder.now() - at > cancelS && runningTasks(id) > 0) {
            breakRule("ran_cancelled", id + " still runs");
          }
        });
  }

  synchronized void breakRule(String rule, String what) {
    if (broken.putIfAbsent(rule, what) == null) {
      recorder.add("RULE BROKEN: %s: %s", rule, what);
      System.out.println("rule broken: " + rule + ": " + what);
    }
  }
}
