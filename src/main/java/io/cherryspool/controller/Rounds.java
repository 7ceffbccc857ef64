package io.cherryspool.controller;

import io.cherryspool.duty.Duty;
import io.cherryspool.duty.EventLoop;
import io.cherryspool.model.Attempt;
import io.cherryspool.model.Job;
import io.cherryspool.model.MachineType;
import io.cherryspool.model.Outcome;
import io.cherryspool.model.Resources;
import io.cherryspool.model.Shard;
import io.cherryspool.model.TaskId;
import io.cherryspool.model.Team;
import io.cherryspool.scheduler.ClusterView;
import io.cherryspool.scheduler.Placement;
import io.cherryspool.scheduler.RoundPlan;
import io.cherryspool.store.JobEntry;
import io.cherryspool.store.Records;
import io.cherryspool.store.Replica;
import io.cherryspool.wire.StateWire;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The leader's rounds: takes in what is proved, plans, commits, and only then lets the workers hear
 * of it. One round is under way at a time; an event starts the next after a short gathering, and
 * the round length is the longest that one waits.
 */
final class Rounds implements Duty {
  private static final Logger LOG = LoggerFactory.getLogger(Rounds.class);
  private static final Duration GATHER = Duration.ofMillis(40);
  private static final Duration SPENT = Duration.ofMillis(120);
  private static final int FREE_TASKS_PER_JOB = 512;
  private static final Duration SHUN = Duration.ofSeconds(120);
  private static final Duration MAX_BACKOFF = Duration.ofSeconds(30);

  private final EventLoop loop;
  private final Replica replica;
  private final RoundWriter writer;
  private final Fleet fleet;
  private final Judge judge;
  private final Stops stops;
  private final Tokens tokens;
  private final Map<String, Team> teams;
  private final Map<String, List<Double>> deadlineTimes;
  private final Supplier<List<MachineType>> catalog;
  private final Duration roundMax;
  private final Duration reportLimit;
  private final int failureCap;
  private final int maxChanges;
  private final Supplier<Instant> wall;
  private final Runnable committed;
  private final Map<TaskId, Duration> lapsed = new HashMap<>();
  private final Map<String, Set<String>> failedOn = new HashMap<>();
  private List<RoundPlan.Unplaced> unplaced = List.of();
  private boolean placing;
  private boolean underWay;
  private boolean wanted;
  private Duration lastRun = Duration.ZERO;
  private EventLoop.Timer timer;
  private EventLoop.Timer longest;

  Rounds(
      EventLoop loop,
      Replica replica,
      RoundWriter writer,
      Fleet fleet,
      Judge judge,
      Stops stops,
      Tokens tokens,
      Map<String, Team> teams,
      Supplier<List<MachineType>> catalog,
      Limits limits,
      Supplier<Instant> wall,
      Runnable committed) {
    this.loop = loop;
    this.replica = replica;
    this.writer = writer;
    this.fleet = fleet;
    this.judge = judge;
    this.stops = stops;
    this.tokens = tokens;
    this.teams = teams;
    this.deadlineTimes = limits.deadlineTimes();
    this.catalog = catalog;
    this.roundMax = limits.roundMax();
    this.reportLimit = limits.silence();
    this.failureCap = limits.failureCap();
    this.maxChanges = limits.maxChanges();
    this.wall = wall;
    this.committed = committed;
  }

  /** A round's sizes and times, from the settings. */
  record Limits(
      Duration roundMax,
      Duration silence,
      int failureCap,
      int maxChanges,
      Map<String, List<Double>> deadlineTimes) {}

  @Override
  public void start() {
    longest = loop.schedule(roundMax, this::atLongest);
    request();
  }

  @Override
  public void stop() {
    writer.stop();
    if (timer != null) {
      timer.cancel();
    }
    if (longest != null) {
      longest.cancel();
    }
  }

  /** Placing starts when ownership is rebuilt. */
  void allowPlacing() {
    placing = true;
    request();
  }

  /** Something happened that a round should take in. */
  void request() {
    wanted = true;
    if (timer == null && !underWay) {
      timer = loop.schedule(GATHER, this::run);
    }
  }

  /** What found no room in the last round that was planned. */
  List<RoundPlan.Unplaced> unplaced() {
    return unplaced;
  }

  private void atLongest() {
    longest = loop.schedule(roundMax, this::atLongest);
    if (loop.now().minus(lastRun).compareTo(roundMax) >= 0) {
      request();
    }
  }

  private void run() {
    timer = null;
    if (underWay) {
      return;
    }
    wanted = false;
    lastRun = loop.now();
    Ownership ownership = Ownership.of(replica);
    Map<String, JobEdit> edits = new LinkedHashMap<>();
    takeIn(ownership, edits);
    if (placing && catalog.get() != null) {
      place(ownership, edits);
    }
    List<RoundWriter.Unit> units = new ArrayList<>();
    edits.values().forEach(edit -> addUnits(edit, units));
    clean(edits.keySet(), units);
    if (units.isEmpty()) {
      return;
    }
    underWay = true;
    tokens.next();
    int sent = writer.write(units, this::settled);
    if (sent == 0) {
      underWay = false;
    }
    if (sent < units.size()) {
      LOG.debug(
          "the write budget leaves {} of {} changes for later", units.size() - sent, units.size());
      timer = loop.schedule(SPENT, this::run);
    }
  }

  /** All outcomes are certain; the replica tells what they are. */
  private void settled() {
    replica
        .refresh()
        .whenComplete(
            (nothing, failure) -> {
              if (failure != null) {
                loop.schedule(SPENT, this::settled);
                return;
              }
              underWay = false;
              committed.run();
              if (wanted) {
                request();
              }
            });
  }

  /** The pending changes of one job. */
  private static final class JobEdit {
    private final JobEntry entry;
    private final Map<Integer, Shard.Editor> shards = new TreeMap<>();
    private boolean assigns;

    JobEdit(JobEntry entry) {
      this.entry = entry;
    }

    Shard.Editor shard(int task) {
      int index = entry.shardOf(task);
      return shards.computeIfAbsent(index, key -> entry.shard(key).shard().edit());
    }
  }

  private void takeIn(Ownership ownership, Map<String, JobEdit> edits) {
    Duration now = loop.now();
    boolean fence = false;
    for (String name : ownership.machines()) {
      MachineState machine = fleet.get(name);
      if (machine == null && fleet.isGone(name)) {
        machine = new MachineState(name, "", "", false, now);
        machine.gone = true;
      }
      for (Ownership.Owned owned : ownership.on(name)) {
        Judge.Verdict verdict = judge.judge(owned, machine, now);
        if (verdict == Judge.Verdict.NEEDS_FENCE) {
          fence = true;
        } else if (verdict != Judge.Verdict.OWNED) {
          take(owned, machine, verdict, edits, now);
        }
      }
    }
    if (fence) {
      tokens.next();
    }
  }

  private void take(
      Ownership.Owned owned,
      MachineState machine,
      Judge.Verdict verdict,
      Map<String, JobEdit> edits,
      Duration now) {
    JobEntry entry = owned.entry();
    Attempt attempt = owned.attempt();
    JobEdit edit = edits.computeIfAbsent(entry.job().id(), key -> new JobEdit(entry));
    Shard.Editor editor = edit.shard(attempt.task());
    if (verdict == Judge.Verdict.DONE) {
      editor.complete(attempt.task());
      lapsed.remove(owned.id());
      if (machine != null) {
        machine.failuresInARow = 0;
      }
      return;
    }
    boolean failed = verdict == Judge.Verdict.FAILED || verdict == Judge.Verdict.LAPSED;
    editor.release(attempt.task(), failed);
    lapsed.put(owned.id(), now);
    if (verdict != Judge.Verdict.ENDED) {
      LOG.info(
          "task {} try {} on {}: {}", owned.id(), attempt.number(), attempt.machine(), verdict);
    }
    if (machine != null && (verdict == Judge.Verdict.FAILED || verdict == Judge.Verdict.REFUSED)) {
      machine.failedJobs.put(entry.job().id(), now);
    }
    if (machine != null && verdict == Judge.Verdict.FAILED) {
      blame(machine, entry);
    }
  }

  /** A job that fails on several machines and succeeds on none is itself to blame. */
  private void blame(MachineState machine, JobEntry entry) {
    Set<String> where = failedOn.computeIfAbsent(entry.job().id(), key -> new HashSet<>());
    where.add(machine.name);
    if (where.size() < 3 || entry.doneCount() > 0) {
      machine.failuresInARow++;
    }
  }

  private void place(Ownership ownership, Map<String, JobEdit> edits) {
    Map<String, MachineType> types = new HashMap<>();
    catalog.get().forEach(type -> types.put(type.name(), type));
    Duration now = loop.now();
    Map<String, Map<String, Integer>> perZone = new HashMap<>();
    List<ClusterView.MachineView> machines = machines(ownership, types, perZone, now);
    List<ClusterView.JobView> jobs = new ArrayList<>();
    for (JobEntry entry : replica.active()) {
      if (entry.outcome() == null) {
        jobs.add(jobView(entry, edits, perZone.getOrDefault(entry.job().id(), Map.of()), now));
      }
    }
    RoundPlan plan =
        Placement.plan(
            new ClusterView(
                wall.get(),
                jobs,
                machines,
                teams,
                ownership.byTeam(),
                catalog.get(),
                deadlineTimes));
    unplaced = plan.unplaced();
    for (RoundPlan.Assignment item : plan.assignments()) {
      JobEntry entry = replica.job(item.job());
      MachineState machine = fleet.get(item.machine());
      JobEdit edit = edits.computeIfAbsent(item.job(), key -> new JobEdit(entry));
      edit.assigns = true;
      stops.clear(new TaskId(item.job(), item.task()));
      edit.shard(item.task())
          .assign(item.task(), item.machine(), machine.latest.session(), tokens.current() + 1);
      Fleet.addImage(machine, entry.job().image());
    }
    for (RoundPlan.Stop stop : plan.stops()) {
      JobEntry entry = replica.job(stop.task().job());
      int number = stop.task().number();
      Attempt attempt = entry.shard(entry.shardOf(number)).shard().owner(number);
      if (attempt != null) {
        LOG.info("stopping {} on {} for work of higher priority", stop.task(), attempt.machine());
        stops.add(stop.task(), attempt.number(), stop.grace());
      }
    }
  }

  private List<ClusterView.MachineView> machines(
      Ownership ownership,
      Map<String, MachineType> types,
      Map<String, Map<String, Integer>> perZone,
      Duration now) {
    List<ClusterView.MachineView> views = new ArrayList<>();
    for (MachineState machine : fleet.all()) {
      MachineType type = types.get(machine.type);
      if (type == null) {
        continue;
      }
      Resources free = type.size();
      List<ClusterView.RunningTask> running = new ArrayList<>();
      for (Ownership.Owned owned : ownership.on(machine.name)) {
        Job job = owned.entry().job();
        free = free.minus(job.perTask());
        perZone
            .computeIfAbsent(job.id(), key -> new HashMap<>())
            .merge(machine.zone, 1, Integer::sum);
        Duration since = machine.runningSince.get(owned.id());
        running.add(
            new ClusterView.RunningTask(
                owned.id(),
                job,
                since == null ? Duration.ZERO : now.minus(since),
                stops.of(owned) != null));
      }
      machine.failedJobs.values().removeIf(at -> now.minus(at).compareTo(SHUN) > 0);
      views.add(
          new ClusterView.MachineView(
              machine.name,
              type,
              machine.zone,
              machine.spot,
              usable(machine, now),
              free,
              machine.images,
              machine.failedJobs.keySet(),
              running));
    }
    return views;
  }

  private boolean usable(MachineState machine, Duration now) {
    return machine.latest != null
        && !machine.gone
        && !machine.deleting
        && machine.latest.token() > tokens.base()
        && machine.latest.notice() == null
        && machine.failuresInARow < Rental.SICK
        && now.minus(machine.heard).compareTo(reportLimit) < 0;
  }

  /** The job's free tasks. Those freed in this very round wait for the next one. */
  private ClusterView.JobView jobView(
      JobEntry entry, Map<String, JobEdit> edits, Map<String, Integer> perZone, Duration now) {
    List<ClusterView.FreeTask> free = new ArrayList<>();
    int held = 0;
    JobEdit edit = edits.get(entry.job().id());
    for (int index = 0; index < entry.shardCount() && free.size() < FREE_TASKS_PER_JOB; index++) {
      if (edit != null && edit.shards.containsKey(index)) {
        wanted = true;
        continue;
      }
      Shard shard = entry.shard(index).shard();
      int end = entry.endTask(index);
      for (int task = shard.nextUndone(entry.firstTask(index));
          task < end && free.size() < FREE_TASKS_PER_JOB;
          task = shard.nextUndone(task + 1)) {
        if (shard.owner(task) != null) {
          continue;
        }
        Shard.History history = shard.history(task);
        Duration last = lapsed.get(new TaskId(entry.job().id(), task));
        if (history.failures() >= failureCap) {
          held++;
        } else if (last == null || now.minus(last).compareTo(backoff(history.failures())) >= 0) {
          free.add(new ClusterView.FreeTask(task, history.attempts(), history.failures(), last));
        }
      }
    }
    return new ClusterView.JobView(entry.job(), free, perZone, held);
  }

  /** A task that keeps failing at once must not fill every round. */
  private static Duration backoff(int failures) {
    if (failures < 2) {
      return Duration.ZERO;
    }
    Duration wait = Duration.ofMillis(500L << Math.min(failures, 10));
    return wait.compareTo(MAX_BACKOFF) < 0 ? wait : MAX_BACKOFF;
  }

  private void addUnits(JobEdit edit, List<RoundWriter.Unit> units) {
    JobEntry entry = edit.entry;
    String id = entry.job().id();
    Map<Integer, Shard> built = new TreeMap<>();
    edit.shards.forEach((index, editor) -> built.put(index, editor.build()));
    if (entry.outcome() == null && complete(entry, built)) {
      if (built.size() + 1 <= maxChanges) {
        units.add(ending(entry, built));
        return;
      }
    }
    built.forEach(
        (index, shard) -> {
          Map<String, Long> conditions = new LinkedHashMap<>();
          conditions.put(Records.progress(id, index), entry.shard(index).version());
          if (edit.assigns) {
            // After a cancel is committed nothing of the job may be assigned.
            conditions.put(Records.outcome(id), 0L);
          }
          boolean over = entry.outcome() != null && shard.owned().isEmpty();
          units.add(
              new RoundWriter.Unit(
                  conditions,
                  List.of(
                      new StateWire.Change(
                          Records.progress(id, index), over ? null : Records.shard(shard), 0))));
        });
  }

  private static boolean complete(JobEntry entry, Map<Integer, Shard> built) {
    int done = 0;
    for (int index = 0; index < entry.shardCount(); index++) {
      Shard shard = built.get(index);
      done += (shard == null ? entry.shard(index).shard() : shard).doneCount();
    }
    return done == entry.job().tasks();
  }

  /** The job's last tasks and its outcome, together; its progress records go as far as they fit. */
  private RoundWriter.Unit ending(JobEntry entry, Map<Integer, Shard> built) {
    String id = entry.job().id();
    Map<String, Long> conditions = new LinkedHashMap<>();
    List<StateWire.Change> changes = new ArrayList<>();
    conditions.put(Records.outcome(id), 0L);
    changes.add(new StateWire.Change(Records.outcome(id), Records.outcome(Outcome.DONE), 0));
    boolean whole = entry.shards().size() + 1 <= maxChanges;
    built.forEach(
        (index, shard) -> {
          conditions.put(Records.progress(id, index), entry.shard(index).version());
          if (!whole) {
            changes.add(new StateWire.Change(Records.progress(id, index), Records.shard(shard), 0));
          }
        });
    if (whole) {
      for (int index : entry.shards().keySet()) {
        changes.add(new StateWire.Change(Records.progress(id, index), null, 0));
      }
    }
    LOG.info("job {} is done", id);
    return new RoundWriter.Unit(conditions, changes);
  }

  /** Ends jobs whose last shards were committed apart, and removes records of ended jobs. */
  private void clean(Set<String> edited, List<RoundWriter.Unit> units) {
    for (JobEntry entry : replica.active()) {
      String id = entry.job().id();
      if (edited.contains(id)) {
        continue;
      }
      if (entry.outcome() == null) {
        if (complete(entry, Map.of())) {
          units.add(ending(entry, Map.of()));
        }
        continue;
      }
      failedOn.remove(id);
      for (int index : entry.shards().keySet()) {
        JobEntry.Versioned item = entry.shard(index);
        if (item.shard().owned().isEmpty()) {
          units.add(
              new RoundWriter.Unit(
                  Map.of(Records.progress(id, index), item.version()),
                  List.of(new StateWire.Change(Records.progress(id, index), null, 0))));
        }
      }
    }
  }
}
