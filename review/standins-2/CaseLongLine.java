import java.nio.file.Path;
import java.util.List;

/**
 * A user cancels an array whose 1,100 small tasks run on one machine. No line of an answer to the
 * worker and no request to it may be longer than 64 KiB.
 */
final class CaseLongLine {
  private static final String YARD = "tuul-hall";

  private CaseLongLine() {}

  public static void main(String[] args) throws Exception {
    boolean hasTrouble = !"0".equals(System.getenv("TROUBLE"));
    Site.Facts facts = new Site.Facts();
    // The machine type of the example in PROTOCOL-cherryspool.md, without its GPUs.
    facts.types =
        List.of(new Platform.Type("g8", 96, 768, 200, 1.0, 12.0, 4.5, 45, facts.zones));
    facts.teams = List.of("settlement-desk-00", "tax-audit-office");
    facts.capacity = 3;
    Site site = new Site(facts, Path.of(args[0], "record.txt"));
    for (String zone : facts.zones) {
      site.platform.rent(facts.types.get(0), zone, false, 0);
    }
    site.startControllers();
    if (!site.awaitReady(20)) {
      exit(site, 2, "the controllers did not start");
    }
    int desk =
        site.submit(
            site.job("req-000001", "settlement-desk-00", 2, 8, 14, 50).put("yard", YARD), 50);
    site.sleep(2);
    int audit =
        site.submit(
            site.job("req-000002", "tax-audit-office", 1100, 0.05, 0.4, 300)
                .put("urgency", "best_effort")
                .put("yard", YARD),
            300);
    for (int i = 0; i < 150 && site.judge.runningTasks("req-000002") < 1100; i++) {
      site.sleep(0.1);
    }
    if (desk != 201
        || audit != 201
        || site.judge.runningTasks("req-000001") != 2
        || site.judge.runningTasks("req-000002") != 1100) {
      exit(site, 2, "the tasks of the two jobs did not start");
    }
    site.sleep(6);
    if (hasTrouble) {
      for (int i = 0; i < 20 && !site.cancel("req-000002", "spindle-0").equals("withdrawn"); i++) {
        site.sleep(1);
      }
    }
    double until = site.recorder.now() + 62;
    while (site.recorder.now() < until && !site.status("req-000001").equals("done")) {
      site.sleep(2);
      site.judge.checkCancelled();
    }
    int leasesLost = 0;
    for (Platform.Machine machine : site.platform.machines.values()) {
      leasesLost += machine.worker == null ? 0 : machine.worker.leasesLost;
    }
    exit(
        site,
        site.judge.broken.isEmpty() ? 0 : 1,
        "sessions lost: "
            + leasesLost
            + ", job of the desk done: "
            + site.status("req-000001").equals("done"));
  }

  private static void exit(Site site, int status, String reason) {
    site.recorder.add("exit %d: %s %s", status, reason, site.judge.broken);
    System.out.println(reason);
    System.exit(status);
  }
}
