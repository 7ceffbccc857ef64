import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.file.Path;

/**
 * The state service refuses one controller alone. Jobs are accepted by another controller, and
 * their users repeat the submission at the first one, with a field that lacks or is too large.
 */
final class CaseRefusedRepeat {
  private static final String REFUSED = "spindle-0";
  private static final String OTHER = "spindle-1";
  private static final int JOBS = 12;

  private CaseRefusedRepeat() {}

  public static void main(String[] args) throws Exception {
    boolean hasTrouble = !"0".equals(System.getenv("TROUBLE"));
    Site site = new Site(new Site.Facts(), Path.of(args[0], "record.txt"));
    for (int i = 0; i < 3; i++) {
      site.platform.rent(site.facts.types.get(0), site.facts.zones.get(i), false, 0);
    }
    site.startControllers();
    if (!site.awaitReady(20)) {
      exit(site, 2, "the controllers did not start");
    }
    site.sleep(5);
    if (hasTrouble) {
      site.recorder.add("state service: refuses %s alone", REFUSED);
      site.state.setRefused(REFUSED, true);
    }
    int answered = 0;
    for (int i = 0; i < JOBS; i++) {
      ObjectNode job = site.job("req-" + (100000 + i), "settlement-desk-00", 2, 2, 4, 5);
      if (site.submit(job, 5, OTHER) != 201) {
        exit(site, 2, "a job was not accepted");
      }
      ObjectNode lacking = job.deepCopy();
      lacking.remove("lane");
      ObjectNode large = job.deepCopy().put("vcpus", 200.0);
      answered += repeat(site, job.path("ref").asText(), "without lane", lacking);
      answered += repeat(site, job.path("ref").asText(), "with 200 CPUs", large);
      site.sleep(0.3);
    }
    exit(site, site.judge.broken.isEmpty() ? 0 : 1, answered + " repeats were answered 200");
  }

  private static int repeat(Site site, String id, String how, ObjectNode job) throws Exception {
    Http.Answer answer =
        Http.send(
            site.client, "POST", site.addresses.get(REFUSED), "/api/jobs", Json.bytes(job), 5);
    int status = answer == null ? 0 : answer.status();
    site.recorder.add(
        "user: repeat of %s %s at %s (ready: %s): %d %s",
        id,
        how,
        REFUSED,
        site.isReady(REFUSED),
        status,
        answer == null ? "" : new String(answer.body()));
    if (status == 400 || status == 422) {
      site.judge.breakRule("forgotten", "the repeat of " + id + " " + how + " got " + status);
    }
    return status == 200 ? 1 : 0;
  }

  private static void exit(Site site, int status, String reason) {
    site.recorder.add("exit %d: %s %s", status, reason, site.judge.broken);
    System.out.println(reason);
    System.exit(status);
  }
}
