package io.cherryspool.sim;

import io.cherryspool.model.Job;
import io.cherryspool.model.Resources;
import io.cherryspool.model.TaskId;
import io.cherryspool.model.Team;
import io.cherryspool.scheduler.Rules;
import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * The users' rules, checked against what the stand-ins really run and what users were really told.
 */
final class RuleChecker {
  private final VirtualTime time;
  private final Map<String, Team> teams;
  private final Duration cancelWithin;
  private final Map<String, Job> submitted = new HashMap<>();
  private final Set<String> accepted = new HashSet<>();
  private final Map<String, Duration> cancelAsked = new HashMap<>();
  private final Map<String, Duration> cancelTold = new HashMap<>();
  private final Map<String, String> ended = new HashMap<>();
  private final Map<String, Duration> endTold = new HashMap<>();
  private final Map<String, Set<Integer>> finished = new HashMap<>();
  private final Map<String, Duration> answered = new HashMap<>();
  private int starts;
  private String breach;

  RuleChecker(VirtualTime time, Collection<Team> teams, Duration cancelWithin) {
    this.time = time;
    this.cancelWithin = cancelWithin;
    this.teams = new HashMap<>();
    teams.forEach(team -> this.teams.put(team.name(), team));
  }

  void submitted(Job job) {
    submitted.put(job.id(), job);
  }

  Job job(String id) {
    return submitted.get(id);
  }

  void cancelAsked(String id) {
    cancelAsked.putIfAbsent(id, time.now());
  }

  int starts() {
    return starts;
  }

  Set<String> accepted() {
    return accepted;
  }

  boolean ended(String id) {
    return ended.containsKey(id);
  }

  boolean cancelWanted(String id) {
    return cancelAsked.containsKey(id);
  }

  /** A task got its image and runs; {@code all} are the live workers, this one among them. */
  void started(StandInWorker on, String task, Collection<StandInWorker> all) {
    starts++;
    String id = TaskId.parse(task).job();
    Job job = submitted.get(id);
    int twins = 0;
    int inZone = 0;
    Set<String> zones = new HashSet<>();
    for (StandInWorker worker : all) {
      for (String other : worker.onMachine()) {
        twins += other.equals(task) ? 1 : 0;
        if (other.startsWith(id + "/")) {
          zones.add(worker.machine().zone);
          inZone += worker.machine().zone.equals(on.machine().zone) ? 1 : 0;
        }
      }
    }
    broken(twins > 1, "ran_twice", task);
    broken(
        !Rules.allows(job, on.machine().type, on.machine().zone, on.machine().spot)
            || job.oneZone() && zones.size() > 1
            || job.spread() && inZone > job.zoneShare(),
        "wrong_place",
        task);
  }

  /** The rules that concern the state of all machines. */
  void check(Collection<StandInWorker> all) {
    Map<String, Resources> use = new HashMap<>();
    for (StandInWorker worker : all) {
      for (String task : worker.onMachine()) {
        Job job = submitted.get(TaskId.parse(task).job());
        use.merge(job.team(), job.perTask(), Resources::plus);
        Duration told = cancelTold.get(job.id());
        broken(
            told != null && time.now().minus(told).compareTo(cancelWithin) > 0,
            "ran_cancelled",
            task);
      }
    }
    use.forEach((team, sum) -> broken(!teams.get(team).allows(sum), "quota", team));
    if (breach != null) {
      throw new AssertionError(breach);
    }
  }

  void finished(String task) {
    TaskId id = TaskId.parse(task);
    finished.computeIfAbsent(id.job(), key -> new HashSet<>()).add(id.number());
  }

  void accepted(String id) {
    if (accepted.add(id)) {
      answered.put(id, time.now());
    }
  }

  void refused(String id, int status) {
    broken(accepted.contains(id) && (status == 400 || status == 422), "forgotten", id);
  }

  /**
   * A user was told a job's state, having asked at {@code sent}; 404 stands for none. What was
   * asked before an end was told may be answered from before it.
   */
  void told(String id, String status, Duration sent) {
    answered.put(id, time.now());
    if (status.equals("404")) {
      broken(accepted.contains(id), "forgotten", id);
      return;
    }
    broken(!submitted.containsKey(id), "invented", id);
    String before = ended.get(id);
    boolean end = status.equals("done") || status.equals("withdrawn");
    boolean after = before != null && (end || sent.compareTo(endTold.get(id)) >= 0);
    broken(after && !before.equals(status), "went_back", id + " to " + status);
    if (status.equals("done")) {
      int done = finished.getOrDefault(id, Set.of()).size();
      broken(done < submitted.get(id).tasks(), "not_done", id);
      end(id, status);
    } else if (status.equals("withdrawn")) {
      broken(!cancelAsked.containsKey(id), "went_back", id + " cancelled unasked");
      cancelTold.putIfAbsent(id, time.now());
      end(id, status);
    }
  }

  private void end(String id, String status) {
    ended.put(id, status);
    endTold.putIfAbsent(id, time.now());
  }

  /** Nobody's polls may stay without an answer for good. */
  void checkAnswered() {
    for (String id : accepted) {
      boolean silent = time.now().minus(answered.get(id)).toSeconds() > 75;
      broken(silent && !ended.containsKey(id), "forgotten", id + " unanswered");
    }
  }

  /**
   * Keeps the first breach for {@link #check}: an error thrown inside a future's callback would
   * only fail that future.
   */
  void broken(boolean really, String rule, String what) {
    if (really && breach == null) {
      breach = String.format("%s: %s at %.3f s", rule, what, time.seconds());
    }
  }
}
