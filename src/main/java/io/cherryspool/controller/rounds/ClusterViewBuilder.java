package io.cherryspool.controller.rounds;

import io.cherryspool.controller.fleet.Fleet;
import io.cherryspool.controller.fleet.MachineContact;
import io.cherryspool.controller.fleet.MachineState;
import io.cherryspool.controller.ownership.FencingTokenSource;
import io.cherryspool.controller.ownership.Ownership;
import io.cherryspool.controller.ownership.StopRequests;
import io.cherryspool.controller.release.CrashLoopBackoff;
import io.cherryspool.controller.release.PendingReleases;
import io.cherryspool.model.Attempt;
import io.cherryspool.model.Job;
import io.cherryspool.model.MachineType;
import io.cherryspool.model.Resources;
import io.cherryspool.model.Shard;
import io.cherryspool.model.TaskId;
import io.cherryspool.model.Team;
import io.cherryspool.scheduler.ClusterView;
import io.cherryspool.store.ClusterRecords;
import io.cherryspool.store.JobRecord;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * What a round is planned from. What is seen of a machine or a job is kept until something about it
 * changes, so that a round's preparation costs what happened since the last one.
 */
final class ClusterViewBuilder {
  private static final int FREE_TASKS_PER_JOB = 512;
  private static final Duration SHUN = Duration.ofSeconds(120);
  private static final Duration MAX_BACKOFF = Duration.ofSeconds(30);

  /**
   * The failure cap of a task rises by one each time so long has passed, since neither lost
   * machines nor bad ones are the job's fault, and its user would wait for good.
   */
  private static final Duration ONE_MORE = Duration.ofSeconds(90);

  private final ClusterRecords replica;
  private final Fleet fleet;
  private final Ownership ownership;
  private final PendingReleases pendingReleases;
  private final StopRequests stopRequests;
  private final CrashLoopBackoff backoff;
  private final Adoption adoption;
  private final FencingTokenSource tokens;
  private final Duration silence;
  private final Duration halfLease;
  private final int failureCap;
  private final Map<String, SeenJob> schedulableJobs = new HashMap<>();
  private final Map<TaskId, Duration> lapsed = new HashMap<>();

  /** A job as last looked at, and when some of its tasks will have waited long enough. */
  private record SeenJob(ClusterView.JobView view, Duration until) {}

  ClusterViewBuilder(
      ClusterRecords replica,
      Fleet fleet,
      TaskTracking ledger,
      FencingTokenSource tokens,
      Duration silence,
      Duration halfLease,
      int failureCap) {
    this.replica = replica;
    this.fleet = fleet;
    this.ownership = ledger.ownership();
    this.pendingReleases = ledger.pendingReleases();
    this.stopRequests = ledger.stopRequests();
    this.backoff = ledger.backoff();
    this.adoption = ledger.adoption();
    this.tokens = tokens;
    this.silence = silence;
    this.halfLease = halfLease;
    this.failureCap = failureCap;
  }

  void jobChanged(JobRecord entry) {
    String id = entry.job().id();
    schedulableJobs.remove(id);
    if (entry.outcome() != null && !lapsed.isEmpty()) {
      lapsed.keySet().removeIf(task -> task.jobId().equals(id));
    }
  }

  void invalidateAll() {
    schedulableJobs.clear();
    fleet.all().forEach(MachineState::invalidateView);
  }

  /** An attempt ended without success, or none of it is known any more. */
  void attemptEnded(TaskId task, boolean done, Duration now) {
    if (done) {
      lapsed.remove(task);
    } else {
      lapsed.put(task, now);
    }
    schedulableJobs.remove(task.jobId());
  }

  /** The jobs that have free tasks. */
  List<ClusterView.JobView> schedulableJobs(Duration now) {
    List<ClusterView.JobView> result = new ArrayList<>();
    for (JobRecord entry : replica.activeJobs()) {
      if (entry.outcome() != null || adoption.isHeldBack(entry)) {
        continue;
      }
      String id = entry.job().id();
      SeenJob seen = schedulableJobs.get(id);
      if (seen == null || seen.until != null && now.compareTo(seen.until) >= 0) {
        seen = look(entry, now);
        schedulableJobs.put(id, seen);
      }
      if (!seen.view.pendingTasks().isEmpty()) {
        result.add(seen.view);
      }
    }
    return result;
  }

  /** What each team's tasks use, without those that are proved to have ended. */
  Map<String, Resources> usageByTeam() {
    Map<String, Resources> use = new HashMap<>();
    for (JobRecord entry : replica.activeJobs()) {
      Map<Integer, PendingReleases.Release> known = pendingReleases.ofJob(entry.job().id());
      int count = entry.ownedCount() - known.size();
      if (count > 0) {
        use.merge(entry.job().team(), entry.job().perTask().times(count), Resources::plus);
      }
    }
    return use;
  }

  /** The teams that need not wait for others: all their unfinished work fits their guarantee. */
  Set<String> teamsWithinGuarantee(Map<String, Team> teams) {
    Map<String, Resources> wanted = new HashMap<>();
    for (JobRecord entry : replica.activeJobs()) {
      if (entry.outcome() == null) {
        Job job = entry.job();
        int left = job.taskCount() - entry.doneCount();
        wanted.merge(job.team(), job.perTask().times(left), Resources::plus);
      }
    }
    Set<String> result = new HashSet<>();
    wanted.forEach(
        (name, sum) -> {
          Team team = teams.get(name);
          if (team != null && team.isWithinGuaranteedQuota(sum)) {
            result.add(name);
          }
        });
    return result;
  }

  List<ClusterView.MachineView> schedulableMachines(List<MachineType> catalog, Duration now) {
    Map<String, MachineType> types = new HashMap<>();
    catalog.forEach(type -> types.put(type.name(), type));
    List<ClusterView.MachineView> result = new ArrayList<>();
    for (MachineState machine : fleet.all()) {
      MachineType type = types.get(machine.type());
      if (type == null || !isSchedulable(machine, now)) {
        continue;
      }
      machine.removeFailedJobs(SHUN, now);
      ClusterView.MachineView seen = machine.cachedView();
      // The catalog is read anew now and then, with other prices.
      if (seen == null || seen.type() != type) {
        seen = look(machine, type);
        machine.cacheView(seen);
      }
      result.add(seen);
    }
    return result;
  }

  /**
   * Whether the machine may be given work: it has taken in a token of this term, heeds its answers,
   * was heard of a short while ago, and half its lease is left. Direct calls do not renew the
   * lease, so that one which answers them while its reports go astray is about to lose what it
   * runs.
   */
  boolean isSchedulable(MachineState machine, Duration now) {
    MachineContact contact = machine.contact();
    return contact.hasHeartbeat()
        && !machine.isDeleted()
        && !machine.isMarkedForDeletion()
        && !contact.isUnresponsive()
        && contact.ignoredReplies() == 0
        && contact.latest().preemptionNotice() == null
        && !machine.history().isFaulty()
        && now.minus(contact.lastHeartbeatAt()).compareTo(silence) < 0
        && now.minus(contact.lastKeptAliveAt()).compareTo(halfLease) < 0
        && contact.hasTokenAbove(tokens.termBase())
        && !adoption.hasUnknownUsage(machine);
  }

  private ClusterView.MachineView look(MachineState machine, MachineType type) {
    Resources free = type.capacity();
    List<ClusterView.RunningTask> running = new ArrayList<>();
    for (Ownership.OwnedTask owned : ownership.attemptsOn(machine.name())) {
      if (!pendingReleases.contains(owned)) {
        Job job = owned.entry().job();
        free = free.minus(job.perTask());
        running.add(
            new ClusterView.RunningTask(
                owned.id(),
                job,
                machine.history().runningSince(owned.id()).orElse(null),
                stopRequests.isRequested(owned)));
      }
    }
    return new ClusterView.MachineView(
        machine.name(),
        type,
        machine.zone(),
        machine.isSpot(),
        machine.isDraining(),
        free,
        machine.history().images(),
        machine.history().failedJobs(),
        running);
  }

  private SeenJob look(JobRecord entry, Duration now) {
    Job job = entry.job();
    Map<Integer, PendingReleases.Release> known = pendingReleases.ofJob(job.id());
    List<ClusterView.PendingTask> free = new ArrayList<>();
    Duration until = null;
    int held = 0;
    boolean begun = entry.doneCount() > 0;
    for (int index = 0; index < entry.shardCount() && free.size() < FREE_TASKS_PER_JOB; index++) {
      Shard shard = entry.shard(index).shard();
      begun |= !shard.ownedAttempts().isEmpty() || !shard.histories().isEmpty();
      int end = entry.endTask(index);
      for (int task = shard.nextNotDone(entry.firstTask(index));
          task < end && free.size() < FREE_TASKS_PER_JOB;
          task = shard.nextNotDone(task + 1)) {
        PendingReleases.Release release = known.get(task);
        if (shard.ownedAttempt(task) != null && (release == null || release.isDone())) {
          continue;
        }
        Shard.History history = shard.history(task);
        int failures = history.failures() + (release != null && release.countsAsFailure() ? 1 : 0);
        if (history.attempts() == 0) {
          free.add(new ClusterView.PendingTask(task, 0, failures, null));
          continue;
        }
        TaskId id = new TaskId(job.id(), task);
        Duration wait = failures >= failureCap ? ONE_MORE : backoff(failures);
        Duration last = lapsed.get(id);
        if (last == null && failures >= failureCap) {
          // What an earlier leader saw is not known; the wait starts now.
          lapsed.put(id, now);
          last = now;
        }
        Duration ready = last == null ? now : last.plus(wait);
        if (now.compareTo(ready) >= 0) {
          free.add(new ClusterView.PendingTask(task, history.attempts(), failures, last));
        } else {
          held += failures >= failureCap ? 1 : 0;
          until = until == null || ready.compareTo(until) < 0 ? ready : until;
        }
      }
    }
    if (!hasSucceeded(entry) && backoff.isCrashLooping(entry)) {
      Duration ready = backoff.nextTryAt(entry, now);
      if (now.compareTo(ready) < 0) {
        free = List.of();
        until = until == null || ready.compareTo(until) < 0 ? ready : until;
      } else {
        free =
            tries(
                free, CrashLoopBackoff.MAX_CONCURRENT_TRIES - (entry.ownedCount() - known.size()));
      }
    }
    Map<String, Integer> perZone = Map.of();
    if (job.requiresSingleZone() || job.requiresZoneSpread()) {
      perZone = perZone(entry);
      if (perZone == null) {
        // A task of it runs nobody knows where, so that no place is surely allowed.
        return new SeenJob(new ClusterView.JobView(job, List.of(), Map.of(), held, begun), now);
      }
    }
    return new SeenJob(new ClusterView.JobView(job, free, perZone, held, begun), until);
  }

  /** Whether any task of the job was ever done. */
  boolean hasSucceeded(JobRecord entry) {
    return entry.doneCount() > 0
        || PendingReleases.countDone(pendingReleases.ofJob(entry.job().id()).values()) > 0;
  }

  /** The task that failed least, and the first one again: one of either kind may be the bad one. */
  private static List<ClusterView.PendingTask> tries(
      List<ClusterView.PendingTask> free, int count) {
    if (count <= 0 || free.isEmpty()) {
      return List.of();
    }
    ClusterView.PendingTask least = free.get(0);
    for (ClusterView.PendingTask task : free) {
      least = task.failures() < least.failures() ? task : least;
    }
    return count == 1 || least == free.get(0) ? List.of(least) : List.of(least, free.get(0));
  }

  /** The owned tasks by zone; null if one is on a machine of which nothing is known. */
  private Map<String, Integer> perZone(JobRecord entry) {
    Map<String, Integer> result = new HashMap<>();
    Map<Integer, PendingReleases.Release> known = pendingReleases.ofJob(entry.job().id());
    for (JobRecord.VersionedShard item : entry.shards().values()) {
      for (Attempt attempt : item.shard().ownedAttempts().values()) {
        if (!known.containsKey(attempt.taskIndex())) {
          MachineState machine = fleet.get(attempt.machine());
          if (machine == null || machine.zone().isEmpty()) {
            return null;
          }
          result.merge(machine.zone(), 1, Integer::sum);
        }
      }
    }
    return result;
  }

  /** A task that keeps failing at once must not fill every round. */
  private static Duration backoff(int failures) {
    if (failures < 2) {
      return Duration.ZERO;
    }
    Duration wait = Duration.ofMillis(500L << Math.min(failures, 10));
    return wait.compareTo(MAX_BACKOFF) < 0 ? wait : MAX_BACKOFF;
  }
}
