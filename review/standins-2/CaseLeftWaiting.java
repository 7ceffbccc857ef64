import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.file.Path;

/**
 * A spot machine is taken away with all tasks of a job. Once another machine has room, no task of
 * the job may be left waiting for 90 s.
 */
final class CaseLeftWaiting {
  private static final double WAITING_LIMIT_S = 90;
  private static final String RUSH = "req-000002";
  private static final int RUSH_TASKS = 8;

  private CaseLeftWaiting() {}

  public static void main(String[] args) throws Exception {
    boolean hasTrouble = !"0".equals(System.getenv("TROUBLE"));
    Site site = new Site(Site.coastplate(), Path.of(args[0], "record.txt"));
    Platform.Type orca = site.platform.type("orca");
    Platform.Machine spot = site.platform.rent(orca, "fraser-rack", true, 0);
    Platform.Machine ordinary = site.platform.rent(orca, "island-dc", false, 0);
    site.platform.mayRent = false;
    site.startControllers();
    if (!site.awaitReady(20)) {
      exit(site, 2, "the controllers did not start");
    }
    ObjectNode first = site.job("req-000001", "plates-crew", 16, 1, 1.7, 13);
    first.put("lane", "dealer-rush").put("urgency", "urgent").put("size_gb", 0.2);
    first.put("loaners", false);
    ObjectNode rush = site.job(RUSH, "plates-crew", RUSH_TASKS, 1, 1.7, 115);
    rush.put("lane", "dealer-rush").put("urgency", "urgent").put("size_gb", 0.2);
    if (site.submit(first, 13) != 201) {
      exit(site, 2, "a job was not accepted");
    }
    await(site, "req-000001", 16);
    if (site.submit(rush, 115) != 201) {
      exit(site, 2, "a job was not accepted");
    }
    await(site, RUSH, RUSH_TASKS);
    if (hasTrouble) {
      site.recorder.add("cloud: %s is taken away without notice", spot.name);
      spot.worker.vanish();
    }
    watch(site, rush, ordinary, spot);
    exit(
        site,
        site.judge.broken.isEmpty() ? 0 : 1,
        site.judge.runningTasks(RUSH) + " of " + RUSH_TASKS + " tasks run at the end");
  }

  private static void await(Site site, String id, int tasks) throws Exception {
    for (int i = 0; i < 100; i++) {
      if (site.judge.runningTasks(id) == tasks) {
        return;
      }
      site.sleep(0.1);
    }
    exit(site, 2, "the tasks of " + id + " did not start");
  }

  /** Watches for how long a task waits without a break while a machine has room for it. */
  private static void watch(
      Site site, JsonNode rush, Platform.Machine ordinary, Platform.Machine spot)
      throws Exception {
    double waitingSince = -1;
    double until = 114;
    while (site.recorder.now() < until) {
      boolean isWaiting =
          site.judge.runningTasks(RUSH) + site.judge.doneTasks(RUSH) < RUSH_TASKS;
      boolean hasRoom =
          ordinary.worker.hasRoomFor(rush) || spot.worker.hasRoomFor(rush);
      if (!isWaiting || !hasRoom) {
        waitingSince = -1;
      } else if (waitingSince < 0) {
        waitingSince = site.recorder.now();
        site.recorder.add(
            "waiting: %d of %d tasks run, and a machine has room",
            site.judge.runningTasks(RUSH), RUSH_TASKS);
      } else if (site.recorder.now() - waitingSince > WAITING_LIMIT_S) {
        site.judge.breakRule(
            "left waiting",
            (RUSH_TASKS - site.judge.runningTasks(RUSH)) + " tasks for 90 s beside free room");
        return;
      }
      if ((int) (site.recorder.now() * 4) % 20 == 0) {
        site.status(RUSH);
      }
      site.sleep(0.25);
    }
    if (waitingSince >= 0) {
      exit(site, 2, "a task still waits, and there was no time to watch it for 90 s");
    }
  }

  private static void exit(Site site, int status, String reason) {
    site.recorder.add("exit %d: %s %s", status, reason, site.judge.broken);
    System.out.println(reason);
    System.exit(status);
  }
}
