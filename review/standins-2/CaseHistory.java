import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * All controllers are restarted after the deployment has accepted the jobs of two days. No question
 * about an accepted job may stay unanswered for 75 s once they are back.
 */
final class CaseHistory {
  /** The jobs of two days: 4.9 and 9 a minute. */
  private static final int JOBS = (int) ((4.9 + 9) * 60 * 48);

  private static final double FORGOTTEN_AFTER_S = 75;
  private static final double BACK_AFTER_S = 8;
  private static final String TEAM = "settlement-desk-00";

  private CaseHistory() {}

  public static void main(String[] args) throws Exception {
    boolean hasTrouble = !"0".equals(System.getenv("TROUBLE"));
    Site site = new Site(new Site.Facts(), Path.of(args[0], "record.txt"));
    for (int i = 0; i < 3; i++) {
      site.platform.rent(site.facts.types.get(0), site.facts.zones.get(i), false, 0);
    }
    site.startControllers();
    if (!site.awaitReady(20) || site.submit(site.job("req-000001", TEAM, 4, 2, 4, 2), 2) != 201) {
      exit(site, 2, "the controllers did not start or took no job");
    }
    while (!site.status("req-000001").equals("done")) {
      if (site.recorder.now() > 40) {
        exit(site, 2, "the first job was not done");
      }
      site.sleep(0.5);
    }
    addHistory(site);
    List<String> asked = List.of("req-000001", "req-100000", "req-" + (100000 + JOBS - 1));
    site.sleep(2);
    for (String id : asked) {
      if (!site.status(id).equals("done")) {
        exit(site, 2, id + " was not known before the restart");
      }
    }
    if (hasTrouble) {
      for (String name : site.addresses.keySet()) {
        site.signal(name, "KILL");
      }
      site.sleep(BACK_AFTER_S);
      site.startControllers();
    }
    askUntilForgotten(site, asked);
  }

  /**
   * Adds the records of further jobs to the state service. They are copies of the two records that
   * the controllers have written for the first job, under other ids.
   */
  private static void addHistory(Site site) throws InterruptedException {
    JsonNode job = site.state.value("c/jobs/req-000001");
    JsonNode outcome = site.state.value("c/outcomes/req-000001");
    for (int i = 0; i < JOBS; i++) {
      String id = "req-" + (100000 + i);
      ObjectNode copy = job.deepCopy();
      ((ObjectNode) copy.path("job")).put("ref", id);
      site.judge.upload(copy.path("job"), 2);
      site.state.putAll(Map.of("c/jobs/" + id, copy));
      site.state.putAll(Map.of("c/outcomes/" + id, outcome));
      if (i % 20 == 19) {
        Thread.sleep(4);
      }
    }
    site.recorder.add("state service: records of %d ended jobs added", JOBS);
  }

  private static void askUntilForgotten(Site site, List<String> asked) throws Exception {
    double start = site.recorder.now();
    Map<String, Double> answeredAt = new HashMap<>();
    Map<String, Integer> answers = new LinkedHashMap<>();
    asked.forEach(id -> answeredAt.put(id, start));
    while (site.recorder.now() < start + FORGOTTEN_AFTER_S + 1) {
      for (String id : asked) {
        for (String node : site.addresses.keySet()) {
          Http.Answer answer = site.poll(id, node);
          if (answer != null && answer.status() == 404) {
            site.judge.breakRule("forgotten", id + " got 404");
          } else if (answer != null && answer.status() == 200) {
            answeredAt.put(id, site.recorder.now());
            answers.merge(id, 1, Integer::sum);
          }
        }
      }
      site.sleep(1.5);
    }
    for (String id : asked) {
      if (site.recorder.now() - answeredAt.get(id) > FORGOTTEN_AFTER_S) {
        site.judge.breakRule("forgotten", "no question about " + id + " was answered for 75 s");
      }
    }
    site.processes.forEach(
        (name, process) -> site.recorder.add("controller %s alive: %s", name, process.isAlive()));
    exit(site, site.judge.broken.isEmpty() ? 0 : 1, "answers: " + answers);
  }

  private static void exit(Site site, int status, String reason) {
    site.recorder.add("exit %d: %s %s", status, reason, site.judge.broken);
    System.out.println(reason);
    System.exit(status);
  }
}
