package io.cherryspool.sim.check;

import io.cherryspool.model.Job;
import io.cherryspool.model.Resources;
import io.cherryspool.model.TaskId;
import io.cherryspool.model.Team;
import io.cherryspool.scheduler.PlacementConstraints;
import io.cherryspool.sim.fakes.FakeWorker;
import io.cherryspool.sim.time.VirtualTime;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The users' rules, checked against what the stand-ins really run and what users were really told.
 */
public final class RuleChecker {
  /** A job about which no question was answered for so long is forgotten. */
  private static final Duration FORGOTTEN = Duration.ofSeconds(75);

  /** So long a job may wait although a machine that fits has room and its team may use it. */
  private static final Duration LEFT_WAITING = Duration.ofSeconds(90);

  /** So soon at least half of a class's largest jobs begin. */
  private static final Duration BEGIN = Duration.ofMinutes(4);

  /** One in so many jobs of a class counts as one of its largest. */
  private static final int LARGEST = 10;

  private final VirtualTime time;
  private final Map<String, Team> teams;
  private final Duration cancelWithin;
  private final Map<String, Job> submitted = new HashMap<>();
  private final Map<String, Duration> accepted = new HashMap<>();
  private final Map<String, Duration> cancelAsked = new HashMap<>();
  private final Map<String, Duration> cancelTold = new HashMap<>();
  private final Map<String, String> ended = new HashMap<>();
  private final Map<String, Duration> endTold = new HashMap<>();
  private final Map<String, Set<Integer>> finished = new HashMap<>();
  private final Map<String, Duration> answered = new HashMap<>();
  private final Map<String, Duration> submittedAt = new HashMap<>();
  private final Map<String, Duration> begun = new HashMap<>();
  private final Map<String, Duration> waitingSince = new HashMap<>();
  private Duration quiet;
  private int starts;
  private int startsAfterCancel;
  private String breach;

  public RuleChecker(VirtualTime time, Collection<Team> teams, Duration cancelWithin) {
    this.time = time;
    this.cancelWithin = cancelWithin;
    this.teams = new HashMap<>();
    teams.forEach(team -> this.teams.put(team.name(), team));
  }

  public void submitted(Job job) {
    submitted.put(job.id(), job);
    submittedAt.put(job.id(), time.now());
  }

  public Job job(String id) {
    return submitted.get(id);
  }

  public void cancelAsked(String id) {
    cancelAsked.putIfAbsent(id, time.now());
  }

  public int starts() {
    return starts;
  }

  /**
   * Starts after a user was told that the job is cancelled; commands may have been on their way.
   */
  int startsAfterCancel() {
    return startsAfterCancel;
  }

  /** When a user was first told that the job is cancelled, or null. */
  public Duration cancelTold(String id) {
    return cancelTold.get(id);
  }

  public boolean ended(String id) {
    return ended.containsKey(id);
  }

  public boolean isCancelRequested(String id) {
    return cancelAsked.containsKey(id);
  }

  /** A task got its image and runs; {@code all} are the live workers, this one among them. */
  public void started(FakeWorker on, String task, Collection<FakeWorker> all) {
    starts++;
    String id = TaskId.parse(task).jobId();
    begun.putIfAbsent(id, time.now());
    startsAfterCancel += cancelTold.containsKey(id) ? 1 : 0;
    Job job = submitted.get(id);
    int twins = 0;
    int inZone = 0;
    Set<String> zones = new HashSet<>();
    for (FakeWorker worker : all) {
      for (String other : worker.runningTasks()) {
        twins += other.equals(task) ? 1 : 0;
        if (other.startsWith(id + "/")) {
          zones.add(worker.machine().zone);
          inZone += worker.machine().zone.equals(on.machine().zone) ? 1 : 0;
        }
      }
    }
    broken(twins > 1, "ran_twice", task);
    broken(
        !PlacementConstraints.allows(job, on.machine().type, on.machine().zone, on.machine().spot)
            || job.requiresSingleZone() && zones.size() > 1
            || job.requiresZoneSpread() && inZone > job.maxTasksPerZone(),
        "wrong_place",
        task);
  }

  /** The rules that concern the state of all machines. */
  public void check(Collection<FakeWorker> all) {
    Map<String, Resources> use = new HashMap<>();
    for (FakeWorker worker : all) {
      for (String task : worker.runningTasks()) {
        Job job = submitted.get(TaskId.parse(task).jobId());
        use.merge(job.team(), job.perTask(), Resources::plus);
        Duration told = cancelTold.get(job.id());
        broken(
            told != null && time.now().minus(told).compareTo(cancelWithin) > 0,
            "ran_cancelled",
            task);
      }
    }
    use.forEach((team, sum) -> broken(!teams.get(team).isWithinQuota(sum), "quota", team));
    if (breach != null) {
      throw new AssertionError(breach);
    }
  }

  public void finished(String task) {
    TaskId id = TaskId.parse(task);
    finished.computeIfAbsent(id.jobId(), key -> new HashSet<>()).add(id.index());
  }

  /** How many tasks of the job have completed. */
  public int doneTasks(String id) {
    return finished.getOrDefault(id, Set.of()).size();
  }

  /** Whether this is the first time that the job is said to be accepted. */
  public boolean accepted(String id) {
    answered.putIfAbsent(id, time.now());
    return accepted.putIfAbsent(id, time.now()) == null;
  }

  public boolean isAccepted(String id) {
    return accepted.containsKey(id);
  }

  public void refused(String id, int status) {
    broken(accepted.containsKey(id) && (status == 400 || status == 422), "forgotten", id);
  }

  /**
   * A user was told a job's state, having asked at {@code sent}; 404 stands for none. What was
   * asked before an end was told may be answered from before it.
   */
  public void told(String id, String status, Duration sent) {
    answered.put(id, time.now());
    if (status.equals("404")) {
      Duration since = accepted.get(id);
      broken(since != null && sent.compareTo(since) >= 0, "forgotten", id);
      return;
    }
    broken(!submitted.containsKey(id), "invented", id);
    String before = ended.get(id);
    boolean end = status.equals("done") || status.equals("withdrawn");
    boolean after = before != null && (end || sent.compareTo(endTold.get(id)) >= 0);
    broken(after && !before.equals(status), "went_back", id + " to " + status);
    if (status.equals("done")) {
      int done = finished.getOrDefault(id, Set.of()).size();
      broken(done < submitted.get(id).taskCount(), "not_done", id);
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

  /** From now on there are no troubles any more. */
  public void quietFrom(Duration since) {
    quiet = since;
  }

  /** What must not be so for long once all troubles are over; called once a second. */
  public void checkQuiet(Collection<FakeWorker> all) {
    Map<String, Resources> use = new HashMap<>();
    Map<FakeWorker, Resources> free = new HashMap<>();
    Set<String> onMachines = new HashSet<>();
    for (FakeWorker worker : all) {
      Resources room = worker.machine().type.capacity();
      for (String task : worker.assignedTasks()) {
        Job job = submitted.get(TaskId.parse(task).jobId());
        room = room.minus(job.perTask());
        use.merge(job.team(), job.perTask(), Resources::plus);
        onMachines.add(task);
      }
      free.put(worker, room);
    }
    for (String id : accepted.keySet()) {
      Job job = submitted.get(id);
      Duration answer = answered.get(id).compareTo(quiet) > 0 ? answered.get(id) : quiet;
      broken(!ended.containsKey(id) && longer(answer, FORGOTTEN), "forgotten", id + " unanswered");
      boolean waits =
          !ended.containsKey(id)
              && !cancelAsked.containsKey(id)
              && !job.jobClass().equals(FakeWorker.FAILING_JOB_CLASS)
              // Where its other tasks are decides where the next may go; served is checked below.
              && !job.requiresSingleZone()
              && !job.requiresZoneSpread()
              && waitingTask(job, onMachines);
      Resources after = use.getOrDefault(job.team(), Resources.NONE).plus(job.perTask());
      boolean couldRun =
          waits
              && teams.get(job.team()).isWithinQuota(after)
              && free.entrySet().stream()
                  .anyMatch(
                      entry ->
                          job.perTask().fitsIn(entry.getValue())
                              && PlacementConstraints.allows(
                                  job,
                                  entry.getKey().machine().type,
                                  entry.getKey().machine().zone,
                                  entry.getKey().machine().spot));
      if (couldRun) {
        broken(
            longer(waitingSince.computeIfAbsent(id, key -> time.now()), LEFT_WAITING),
            "left_waiting",
            id);
      } else {
        waitingSince.remove(id);
      }
    }
  }

  private boolean waitingTask(Job job, Set<String> onMachines) {
    Set<Integer> done = finished.getOrDefault(job.id(), Set.of());
    for (int i = 0; i < job.taskCount(); i++) {
      if (!done.contains(i) && !onMachines.contains(job.id() + "/" + i)) {
        return true;
      }
    }
    return false;
  }

  /** At the end of a day: all is served, and the largest of each class began in time. */
  public void checkServed() {
    broken(starts == 0, "nothing_ran", "");
    Map<String, List<Job>> classes = new HashMap<>();
    for (String id : accepted.keySet()) {
      broken(!ended.containsKey(id), "unserved", id + " unfinished at the end");
      Job job = submitted.get(id);
      if (!cancelAsked.containsKey(id)) {
        classes.computeIfAbsent(job.jobClass(), key -> new ArrayList<>()).add(job);
      }
    }
    for (List<Job> jobs : classes.values()) {
      jobs.sort(Comparator.comparingInt(Job::taskCount).reversed());
      List<Job> largest = jobs.subList(0, Math.min(jobs.size(), 1 + jobs.size() / LARGEST));
      long inTime =
          largest.stream()
              .map(Job::id)
              .filter(id -> begun.containsKey(id))
              .filter(id -> begun.get(id).minus(submittedAt.get(id)).compareTo(BEGIN) <= 0)
              .count();
      broken(2 * inTime < largest.size(), "largest_late", largest.get(0).id());
    }
  }

  private boolean longer(Duration since, Duration limit) {
    return time.now().minus(since).compareTo(limit) > 0;
  }

  /**
   * Keeps the first breach for {@link #check}: an error thrown inside a future's callback would
   * only fail that future.
   */
  public void broken(boolean really, String rule, String what) {
    if (really && breach == null) {
      breach = String.format("%s: %s at %.3f s", rule, what, time.seconds());
    }
  }
}
