import java.nio.file.Path;
import java.util.List;

/**
 * A guest team submits one array of 1,600 small tasks that run for 40 s. The array, and a job of
 * another team beside it, must be done within 100 s: there is room for all tasks from the start.
 */
final class CaseLongReport {
  private static final double LIMIT_S = 95;

  private CaseLongReport() {}

  public static void main(String[] args) throws Exception {
    boolean hasTrouble = !"0".equals(System.getenv("TROUBLE"));
    Site.Facts facts = new Site.Facts();
    // The machine type of the example in PROTOCOL-cherryspool.md, without its GPUs.
    facts.types =
        List.of(new Platform.Type("g8", 96, 768, 200, 1.0, 12.0, 4.5, 45, facts.zones));
    facts.teams = List.of("settlement-desk-00", "tax-audit-office");
    facts.capacity = 6;
    Site site = new Site(facts, Path.of(args[0], "record.txt"));
    for (String zone : facts.zones) {
      site.platform.rent(facts.types.get(0), zone, false, 0);
    }
    site.startControllers();
    if (!site.awaitReady(20)) {
      exit(site, 2, "the controllers did not start");
    }
    int pieces = hasTrouble ? 1600 : 400;
    int audit =
        site.submit(
            site.job("req-000002", "tax-audit-office", pieces, 0.05, 0.4, 40)
                .put("urgency", "best_effort"),
            40);
    site.sleep(2);
    int desk = site.submit(site.job("req-000001", "settlement-desk-00", 2, 8, 14, 35), 35);
    if (desk != 201 || audit != 201) {
      exit(site, 2, "the jobs were not accepted");
    }
    double until = site.recorder.now() + LIMIT_S;
    boolean isAuditDone = false;
    boolean isDeskDone = false;
    while (site.recorder.now() < until && !(isAuditDone && isDeskDone)) {
      site.sleep(2);
      isAuditDone = site.status("req-000002").equals("done");
      isDeskDone = site.status("req-000001").equals("done");
    }
    int leasesLost = 0;
    int refused = 0;
    int largest = 0;
    for (Worker worker : site.platform.allWorkers) {
      leasesLost += worker.leasesLost;
      refused += worker.refusedReports;
      largest = Math.max(largest, worker.largestReport);
    }
    if (refused > 0 && !isAuditDone) {
      site.judge.breakRule("64 KiB", "reports of up to " + largest + " bytes, array not done");
    }
    exit(
        site,
        !site.judge.broken.isEmpty() ? 1 : isAuditDone && isDeskDone ? 0 : 2,
        String.format(
            "done: array %s (%d of %d tasks), job of the desk %s; starts %d; refused reports %d of"
                + " up to %d bytes; sessions lost %d; machines deleted %d",
            isAuditDone,
            site.judge.doneTasks("req-000002"),
            pieces,
            isDeskDone,
            site.judge.starts,
            refused,
            largest,
            leasesLost,
            site.platform.deleted));
  }

  private static void exit(Site site, int status, String reason) {
    site.recorder.add("exit %d: %s %s", status, reason, site.judge.broken);
    System.out.println(reason);
    System.exit(status);
  }
}
