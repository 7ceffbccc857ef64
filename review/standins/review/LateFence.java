package review;

import java.util.List;

/**
 * A leader loses the state service and the other nodes. The first direct commands of its successor
 * are held up, so the old leader goes on renewing the workers' leases for a while. Then one machine
 * can't reach any controller.
 */
final class LateFence {
  private static final String LONG_JOB = "req-000101";
  private static final String SHORT_JOB = "req-000102";
  private static final String OTHER_JOB = "req-000103";

  /** How long direct commands are held up; the protocol's bench allows 2 to 16 s. */
  private static final double HELD_S = 13;

  private LateFence() {}

  public static void main(String[] arguments) {
    Case.run(arguments, World.coastplate(), LateFence::play);
  }

  private static void play(World world, boolean hasTrouble) throws Exception {
    world.addMachine("host-000001", "fraser-rack", 0);
    world.addMachine("host-000002", "island-dc", 1);
    for (int node = 0; node < world.nodeCount(); node++) {
      world.startNode(node);
    }
    world.awaitReady(20);
    int first = world.awaitLeaderOtherThan(-1, 20);
    // The first two jobs fill one machine, so the third one starts on the other.
    world.submit(
        first, World.submission(LONG_JOB, "insurance-lookup", "normal", 1, 8), piece -> 120);
    Thread.sleep(2000);
    world.submit(
        first,
        World.submission(SHORT_JOB, "dealer-rush", "urgent", 8, 1),
        piece -> 32 + 1.5 * pieceNumber(piece));
    Thread.sleep(2000);
    world.submit(first, World.submission(OTHER_JOB, "dealer-rush", "urgent", 6, 1), piece -> 65);
    Thread.sleep(4000);
    Worker victim = victim(world);
    world.record.line("%s is the machine that will be out of reach", victim.name);
    if (hasTrouble) {
      disrupt(world, first, victim);
    } else {
      Thread.sleep(50_000);
    }
    for (int node = 0; node < world.nodeCount(); node++) {
      world.poll(node, LONG_JOB);
    }
  }

  private static void disrupt(World world, int first, Worker victim) throws Exception {
    world.record.line("direct commands are held up for %.0f s", HELD_S);
    World.sorted(world.workers()).forEach(worker -> worker.holdCommands(HELD_S));
    world.cutFromStateAndPeers(first, true);
    world.awaitLeaderOtherThan(first, 15);
    double start = Record.now();
    sleepUntil(start + HELD_S - 0.4);
    victim.setMute(true);
    World.sorted(world.workers()).forEach(worker -> worker.holdCommands(0));
    world.record.line("direct commands arrive again");
    sleepUntil(start + 23);
    world.record.line("direct commands to %s are held up for 8 s", victim.name);
    victim.holdCommands(8);
    sleepUntil(start + 43);
    victim.holdCommands(0);
    victim.setMute(false);
    world.cutFromStateAndPeers(first, false);
    Thread.sleep(4000);
  }

  /** Returns the machine with the long task; it must run the short ones too, and not the others. */
  private static Worker victim(World world) {
    for (Worker worker : World.sorted(world.workers())) {
      List<String> pieces = worker.piecesOnMachine();
      if (pieces.contains(LONG_JOB + "/0")
          && pieces.stream().filter(piece -> piece.startsWith(SHORT_JOB)).count() == 8) {
        return worker;
      }
    }
    throw new IllegalStateException("the tasks did not start as the case needs them");
  }

  private static int pieceNumber(String piece) {
    return Integer.parseInt(piece.substring(piece.indexOf('/') + 1));
  }

  private static void sleepUntil(double time) throws InterruptedException {
    Thread.sleep(Math.max(0, (long) ((time - Record.now()) * 1000)));
  }
}
