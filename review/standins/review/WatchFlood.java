package review;

import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * Ten teams run large arrays of short tasks. One node that does not lead stands still for a minute.
 * Then the users call the arrays off, and nothing more happens.
 */
final class WatchFlood {
  private static final int MACHINES = 40;
  private static final int TEAMS = 10;
  private static final int TASKS = 20_000;

  /** How long the node stands still: "a minute or more" by the operators. */
  private static final double STILL_S = 76;

  /** How long the node has to serve again once it goes on. */
  private static final double RECOVERY_S =
      Double.parseDouble(System.getenv().getOrDefault("REVIEW_RECOVERY_S", "26"));

  private WatchFlood() {}

  public static void main(String[] arguments) {
    Case.run(arguments, World.ulaanbaatar(), WatchFlood::play);
  }

  private static void play(World world, boolean hasTrouble) throws Exception {
    world.recordNoTasks();
    String[] zones = World.ulaanbaatar().zones();
    for (int i = 0; i < MACHINES; i++) {
      world.addMachine(
          String.format("host-%06d", i + 1), zones[i % zones.length], i % zones.length);
    }
    for (int node = 0; node < world.nodeCount(); node++) {
      world.startNode(node);
    }
    world.awaitReady(20);
    int leader = world.awaitLeaderOtherThan(-1, 10);
    for (int team = 0; team < TEAMS; team++) {
      ObjectNode job = World.submission(id(team), "balance-recount", "urgent", TASKS, 0.25);
      job.put("owner", String.format("settlement-desk-%02d", team));
      world.submit((leader + 1) % world.nodeCount(), job, piece -> 8 + Math.random() * 6);
    }
    Thread.sleep(2000);
    int still = (leader + 1) % world.nodeCount();
    if (hasTrouble) {
      world.signalNode(still, "STOP");
    }
    long startBytes = world.storedBytes();
    int startCount = world.startCount();
    Thread.sleep((long) (STILL_S * 1000));
    world.record.line(
        "meanwhile %d tasks were started, and the state service took %d bytes of values",
        world.startCount() - startCount, world.storedBytes() - startBytes);
    if (hasTrouble) {
      world.signalNode(still, "CONT");
    }
    for (int team = 0; team < TEAMS; team++) {
      world.withdraw(leader, id(team));
    }
    observe(world, still, leader);
  }

  private static String id(int team) {
    return String.format("req-%06d", 201 + team);
  }

  /** Watches whether the node gets ready again, as the leader is all the time. */
  private static void observe(World world, int still, int leader) throws Exception {
    double start = Record.now();
    int ready = 0;
    int leaderReady = 0;
    while (Record.now() - start < RECOVERY_S) {
      ready += isReady(world, still) ? 1 : 0;
      leaderReady += isReady(world, leader) ? 1 : 0;
      world.poll(still, id(0));
      world.poll(leader, id(0));
      Thread.sleep(1000);
    }
    world.record.line(
        "ready: %s %d times, the leader %d times", world.nodeName(still), ready, leaderReady);
    if (ready == 0 && leaderReady > 0) {
      world.addViolation(
          String.format(
              "hang: %s is not ready once in %.0f s after it went on, its process alive: %s",
              world.nodeName(still), Record.now() - start, world.process(still).isAlive()));
    }
  }

  private static boolean isReady(World world, int node) {
    Http.Answer ready = Http.call("GET", world.nodeAddress(node), "/ready", null, 1000);
    world.record.line("GET /ready to %s -> %s", world.nodeName(node), ready.text());
    return ready.status() == 200;
  }
}
