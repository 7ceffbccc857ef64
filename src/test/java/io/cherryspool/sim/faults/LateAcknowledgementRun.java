package io.cherryspool.sim.faults;

import io.cherryspool.model.Job;
import io.cherryspool.sim.cluster.SimulatedCluster;
import io.cherryspool.sim.cluster.SimulatedController;
import io.cherryspool.sim.fakes.FakeWorker;
import io.cherryspool.sim.network.CommandDelays;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.Supplier;

/**
 * A seeded run in which machines learn late of a new leader. A leader is cut off from the state
 * store and the other controllers, direct commands to the machines arrive late, and some machines
 * cannot open connections to any controller. All delays and times are drawn at random. The rules
 * are checked after each event.
 */
public final class LateAcknowledgementRun {
  private static final double SETTLE_S = 25;
  private static final double FAULTS_S = 110;
  private static final double QUIET_S = 60;
  private static final double MAX_MUTE_DELAY_S = 22;
  private static final double MAX_COMPLETION_INTERVAL_S = 8;

  private final SimulatedCluster cluster;
  private final SplittableRandom random;
  private final List<FakeWorker> mutedWorkers = new ArrayList<>();
  private Optional<Duration> newTermAt = Optional.empty();
  private boolean hasLateRenewal;

  /** Creates the run of a seed; the seed determines all faults and times. */
  public LateAcknowledgementRun(long seed) {
    random = new SplittableRandom(~seed);
    cluster = SimulatedCluster.of(seed, 3 + random.nextInt(3));
  }

  /**
   * Runs the cluster.
   *
   * @throws AssertionError after the first event that breaks a rule
   */
  public void run() {
    cluster.run(SETTLE_S);
    submitJobs();
    cluster.run(8 + random.nextDouble() * 4);
    startFaults();
    cluster.run(FAULTS_S);
    cluster.network().setDuplicatingHeartbeats(false);
    cluster.network().commandDelays().end();
    cluster.cloud().setDown(false);
    cluster.run(QUIET_S);
  }

  /**
   * Whether the lease of a machine that could not reach any controller had been renewed by the
   * earlier leader after the new term began.
   */
  public boolean hasLateRenewal() {
    return hasLateRenewal;
  }

  /** Returns the number of task starts, including restarts. */
  public int startCount() {
    return cluster.rules().startCount();
  }

  /** Submits long tasks, and tasks whose ends fall into the time of the faults. */
  private void submitJobs() {
    for (int i = 0; i < 4; i++) {
      String team = i % 2 == 0 ? "red" : "blue";
      int tasks = 2 + random.nextInt(7);
      double cpus = 1 + random.nextInt(3);
      Job job = cluster.jobs().create(team, tasks, cpus, seconds(15, 120));
      cluster.users().submit(job);
    }
  }

  private void startFaults() {
    SimulatedController leader = cluster.leader();
    leader.isolate(seconds(5, 60));
    delayCommands();
    cluster.schedule(5 + random.nextDouble() * 35, cluster.network().commandDelays()::end);
    if (random.nextInt(3) == 0) {
      cluster.schedule(40 + random.nextDouble() * 20, this::delayCommands);
    }
    cluster.network().setDuplicatingHeartbeats(random.nextBoolean());
    if (random.nextBoolean()) {
      cluster.schedule(random.nextDouble() * 10, () -> cluster.cloud().setDown(true));
    }
    List<FakeWorker> workers = new ArrayList<>(cluster.workers());
    for (int count = 1 + random.nextInt(3); count > 0 && !workers.isEmpty(); count--) {
      FakeWorker worker = workers.remove(random.nextInt(workers.size()));
      cluster.schedule(random.nextDouble() * MAX_MUTE_DELAY_S, () -> mute(worker));
    }
    observeNewTerm(leader);
  }

  /** Delays a share of the commands to all workers, by 2 to 16 s as PROTOCOL allows at least. */
  private void delayCommands() {
    double share = 0.4 + random.nextDouble() * 0.6;
    Duration commonDelay = seconds(2, 16);
    Supplier<Duration> delays = random.nextBoolean() ? () -> commonDelay : () -> seconds(2, 16);
    CommandDelays commandDelays = cluster.network().commandDelays();
    commandDelays.begin(host -> random.nextDouble() < share, delays);
  }

  /** Keeps the worker from opening connections, while its tasks end one after the other. */
  private void mute(FakeWorker worker) {
    cluster.network().dropOutbound(worker.machine().host(), seconds(5, 60));
    mutedWorkers.add(worker);
    if (random.nextInt(4) == 0) {
      cluster.schedule(random.nextDouble() * 10, () -> worker.hang(seconds(2, 25)));
    }
    completeTasks(worker);
  }

  private void completeTasks(FakeWorker worker) {
    worker.completeOneTask();
    if (cluster.time().seconds() < SETTLE_S + FAULTS_S) {
      cluster.schedule(
          0.5 + random.nextDouble() * MAX_COMPLETION_INTERVAL_S, () -> completeTasks(worker));
    }
  }

  private void observeNewTerm(SimulatedController earlierLeader) {
    if (newTermAt.isEmpty() && cluster.leaderOtherThan(earlierLeader).isPresent()) {
      newTermAt = Optional.of(cluster.time().now());
    }
    if (newTermAt.isPresent() && earlierLeader.isLeader()) {
      hasLateRenewal |= mutedWorkers.stream().anyMatch(this::isRenewedInNewTerm);
    }
    cluster.schedule(0.2, () -> observeNewTerm(earlierLeader));
  }

  private boolean isRenewedInNewTerm(FakeWorker worker) {
    return worker.leaseRenewedAt().compareTo(newTermAt.orElseThrow()) > 0;
  }

  private Duration seconds(double min, double max) {
    return Duration.ofMillis((long) (1000 * (min + random.nextDouble() * (max - min))));
  }
}
