package io.cherryspool.sim.driver;

import io.cherryspool.model.Job;
import io.cherryspool.sim.cluster.SimulatedCluster;
import io.cherryspool.sim.cluster.SimulatedController;
import io.cherryspool.sim.fakes.FakeWorker;
import java.time.Duration;
import java.util.Comparator;
import java.util.List;
import java.util.stream.LongStream;

/**
 * Measures in simulated time how long the tasks of a machine that dies wait until all of them run
 * on other machines. The arguments are the first and the last seed.
 */
public final class LostMachineDriver {
  private static final double SETTLE_S = 25;
  private static final double RUNNING_S = 10;
  private static final double STEP_S = 0.1;
  private static final double MAX_ELECTION_S = 15;
  private static final double MAX_WAIT_S = 120;
  private static final double REACHABLE_IN_TERM_S = 8.8;
  private static final int TASKS = 22;
  private static final Duration TASK_RUN_TIME = Duration.ofMinutes(5);
  private static final Duration LEADER_FAULT_TIME = Duration.ofMinutes(2);

  /** What else happens when the machine dies. */
  private enum Scenario {
    /** Nothing: the cloud deletes the machine. */
    MACHINE_ALONE(false, LeaderFault.NONE, 0, Duration.ZERO),
    /** The cloud is down, so that only the lease expiry proves the end. */
    CLOUD_DOWN(true, LeaderFault.NONE, 0, Duration.ZERO),
    /** The leader crashes together with the machine, and the cloud is down. */
    LEADER_CRASH(true, LeaderFault.CRASH, 0, Duration.ZERO),
    /** The machine dies in the new leader's term, before its first heartbeat there. */
    AFTER_FIRST_CALL(true, LeaderFault.CRASH, 0.6, Duration.ZERO),
    /** The machine dies five seconds after the new term began. */
    AFTER_FAILOVER(true, LeaderFault.CRASH, 5, Duration.ZERO),
    /** As before, and the commands of the new leader to all machines arrive 4 s late. */
    LATE_COMMANDS(true, LeaderFault.CRASH, 5, Duration.ofSeconds(4)),
    /**
     * The earlier leader goes on renewing the machine's lease until the machine can open no more
     * connections. Then a late command of the new leader arrives, and the machine dies.
     */
    LATE_COMMANDS_PARTITION(true, LeaderFault.PARTITION, 14, Duration.ofSeconds(9));

    private final boolean isCloudDown;
    private final LeaderFault leaderFault;

    /** When the machine dies, in seconds of the new term; zero if at once. */
    private final double deathInTermS;

    private final Duration commandDelay;

    Scenario(
        boolean isCloudDown, LeaderFault leaderFault, double deathInTermS, Duration commandDelay) {
      this.isCloudDown = isCloudDown;
      this.leaderFault = leaderFault;
      this.deathInTermS = deathInTermS;
      this.commandDelay = commandDelay;
    }
  }

  /** What happens to the leader. */
  private enum LeaderFault {
    NONE,
    CRASH,
    /** It loses the state store and the other controllers, but not the workers. */
    PARTITION
  }

  private final SimulatedCluster cluster;
  private final Scenario scenario;

  private LostMachineDriver(long seed, Scenario scenario) {
    this.cluster = SimulatedCluster.of(seed, 3);
    this.scenario = scenario;
  }

  public static void main(String[] args) {
    long firstSeed = Long.parseLong(args[0]);
    long lastSeed = Long.parseLong(args[1]);
    System.out.println("scenario; seeds; s until a task runs elsewhere: least, median, most");
    for (Scenario scenario : Scenario.values()) {
      double[] waits =
          LongStream.rangeClosed(firstSeed, lastSeed)
              .parallel()
              .mapToDouble(seed -> new LostMachineDriver(seed, scenario).measure())
              .sorted()
              .toArray();
      System.out.printf(
          "%s; %d; %.1f, %.1f, %.1f%n",
          scenario, waits.length, waits[0], waits[waits.length / 2], waits[waits.length - 1]);
    }
  }

  /** Runs the scenario and returns the seconds from the machine's death, at most 120. */
  private double measure() {
    cluster.run(SETTLE_S);
    Job job = cluster.jobs().create("blue", TASKS, 1, TASK_RUN_TIME);
    cluster.users().submit(job);
    cluster.run(RUNNING_S);
    FakeWorker victim =
        cluster.workers().stream()
            .max(Comparator.comparingInt(worker -> worker.runningTasks().size()))
            .orElseThrow();
    List<String> lostTasks = List.copyOf(victim.runningTasks());
    loseLeader(victim);
    if (scenario.isCloudDown) {
      cluster.cloud().setDown(true);
    }
    victim.kill();
    double killedAtS = cluster.time().seconds();
    while (!isAnyRunning(lostTasks) && cluster.time().seconds() < killedAtS + MAX_WAIT_S) {
      cluster.run(STEP_S);
    }
    return cluster.time().seconds() - killedAtS;
  }

  private boolean isAnyRunning(List<String> tasks) {
    return cluster.workers().stream()
        .anyMatch(worker -> worker.runningTasks().stream().anyMatch(tasks::contains));
  }

  private void loseLeader(FakeWorker victim) {
    SimulatedController leader = cluster.leader();
    String host = victim.machine().host();
    if (!scenario.commandDelay.isZero()) {
      cluster.network().commandDelays().begin(any -> true, () -> scenario.commandDelay);
    }
    switch (scenario.leaderFault) {
      case CRASH -> leader.crash(LEADER_FAULT_TIME);
      case PARTITION -> leader.isolate(LEADER_FAULT_TIME);
      case NONE -> {
        return;
      }
    }
    if (scenario.deathInTermS > 0) {
      double limitS = cluster.time().seconds() + MAX_ELECTION_S;
      while (cluster.leaderOtherThan(leader).isEmpty() && cluster.time().seconds() < limitS) {
        cluster.run(STEP_S);
      }
      if (scenario.leaderFault == LeaderFault.PARTITION) {
        cluster.schedule(
            REACHABLE_IN_TERM_S, () -> cluster.network().dropOutbound(host, LEADER_FAULT_TIME));
      }
      cluster.run(scenario.deathInTermS);
    }
  }
}
