package review;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.cherryspool.model.Outcome;
import io.cherryspool.store.Records;
import io.cherryspool.wire.UserProtocol;
import java.time.Instant;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The state service holds the records of the jobs of the last day and a half. The nodes start, take
 * more jobs for half a minute, and are then all killed and started again.
 */
final class GrownHistory {
  /** Jobs that are done, at 13.9 a minute, as the brief has them, in about 36 hours. */
  private static final int HISTORY =
      Integer.parseInt(System.getenv().getOrDefault("REVIEW_HISTORY", "30400"));

  /** How long users submit jobs, as fast as the state service's limit lets the nodes take them. */
  private static final double SUBMIT_S = 27;

  private static final int USERS = 90;

  /** A job about which no question is answered for this long counts as forgotten. */
  private static final double FORGOTTEN_S = 75;

  private static final int TASKS_PER_RECORD = 16 * 1024 / 80;

  private GrownHistory() {}

  public static void main(String[] arguments) {
    Case.run(arguments, World.ulaanbaatar(), GrownHistory::play);
  }

  private static void play(World world, boolean hasTrouble) throws Exception {
    storeHistory(world);
    for (int node = 0; node < world.nodeCount(); node++) {
      world.startNode(node);
    }
    world.awaitReady(20);
    world.awaitLeaderOtherThan(-1, 10);
    String oldJob = id(HISTORY / 2);
    world.poll(0, oldJob);
    int accepted = submitJobs(world);
    String newJob = id(HISTORY);
    world.record.line("users had %d jobs accepted in %.0f s", accepted, SUBMIT_S);
    world.poll(1, newJob);
    if (hasTrouble) {
      for (int node = 0; node < world.nodeCount(); node++) {
        world.killNode(node);
      }
      for (int node = 0; node < world.nodeCount(); node++) {
        world.startNode(node);
      }
    }
    pollUntilForgotten(world, new String[] {oldJob, newJob});
  }

  /** Stores jobs that are done, as the program leaves them: the description and the outcome. */
  private static void storeHistory(World world) throws Exception {
    Map<String, JsonNode> values = new LinkedHashMap<>();
    for (int i = 0; i < HISTORY; i++) {
      JsonNode job =
          Records.encodeJob(
              UserProtocol.parseJob(submission(i), Instant.now().minusSeconds(140_000)),
              TASKS_PER_RECORD);
      values.put(Records.jobKey(id(i)), job);
      values.put(Records.outcomeKey(id(i)), Records.encodeOutcome(Outcome.DONE));
      if (values.size() == 48 || i == HISTORY - 1) {
        world.store(values);
        values.clear();
      }
    }
    world.record.line("the state service holds %d jobs that are done", HISTORY);
  }

  private static String id(int number) {
    return String.format("req-%06d", number);
  }

  private static ObjectNode submission(int number) {
    ObjectNode job = World.submission(id(number), "balance-recount", "urgent", 17, 2);
    job.put("owner", String.format("settlement-desk-%02d", number % 10));
    job.put("mem_gb", 5.2).put("size_gb", 0.5).put("expect_s", 12.0).put("due_s", 33.0);
    return job;
  }

  /** Lets users submit jobs to all nodes, each again after a second if it is not accepted. */
  private static int submitJobs(World world) throws Exception {
    AtomicInteger next = new AtomicInteger(HISTORY);
    AtomicInteger accepted = new AtomicInteger();
    double end = Record.now() + SUBMIT_S;
    Thread[] users = new Thread[USERS];
    for (int i = 0; i < USERS; i++) {
      int node = i % world.nodeCount();
      users[i] =
          new Thread(
              () -> {
                while (Record.now() < end) {
                  submitUntilAccepted(world, node, submission(next.getAndIncrement()), end);
                  accepted.incrementAndGet();
                }
              });
      users[i].setDaemon(true);
      users[i].start();
    }
    for (Thread user : users) {
      user.join();
    }
    return accepted.get();
  }

  private static void submitUntilAccepted(World world, int node, ObjectNode job, double end) {
    while (true) {
      Http.Answer answer = Http.call("POST", world.nodeAddress(node), "/api/jobs", job, 5000);
      world.record.line(
          "POST /api/jobs %s to %s -> %s",
          job.path("ref").asText(), world.nodeName(node), answer.text());
      if (answer.status() == 201 || answer.status() == 200) {
        return;
      }
      if (Record.now() > end + 5) {
        throw new IllegalStateException("not accepted: " + job.path("ref").asText());
      }
      try {
        Thread.sleep(1000);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
  }

  /** Polls the jobs at all nodes until an answer comes, or too long no question is answered. */
  private static void pollUntilForgotten(World world, String[] ids) throws Exception {
    double start = Record.now();
    int answers = 0;
    while (Record.now() - start < FORGOTTEN_S) {
      for (int node = 0; node < world.nodeCount(); node++) {
        for (String id : ids) {
          answers += world.poll(node, id).status() == 200 ? 1 : 0;
        }
      }
      for (int node = 0; node < world.nodeCount(); node++) {
        world.record.line(
            "%s: process alive: %s", world.nodeName(node), world.process(node).isAlive());
      }
      Thread.sleep(2000);
    }
    world.record.line("%d polls were answered", answers);
    if (answers == 0) {
      world.addViolation(
          String.format(
              "forgotten: no question about %s and %s was answered for %.0f s",
              ids[0], ids[1], Record.now() - start));
    }
  }
}
