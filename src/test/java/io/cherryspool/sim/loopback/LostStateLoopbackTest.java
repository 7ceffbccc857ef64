package io.cherryspool.sim.loopback;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Runs five controllers in separate processes and a few dozen fake workers on real sockets of this
 * machine. The state store loses its data twice while tasks run: once while the controllers run,
 * and once together with a kill of all controllers. The status that the controllers report for each
 * job is compared with a record of the test.
 */
class LostStateLoopbackTest extends LoopbackFixture {
  private static final int SUBNET = 81;
  private static final int CONTROLLERS = 5;
  private static final int MACHINES = 24;

  LostStateLoopbackTest() {
    super(
        CONTROLLERS,
        new LoopbackCluster(
            SUBNET, CONTROLLERS, MACHINES, new LoopbackNodes.Limits(300, 120, 1024, 0)));
  }

  private Path writeOperatorSettings() throws IOException {
    Path file = folder.resolve("operators.xml");
    return Files.writeString(
        file,
        "<cherryspool><recovery>on</recovery><snapshot-directory>"
            + folder.resolve("snapshots")
            + "</snapshot-directory><snapshot-interval>1</snapshot-interval></cherryspool>\n");
  }

  @Test
  @Timeout(240)
  void everyJobGetsOneOutcomeDespiteLossesOfTheStateStore() throws Exception {
    cluster.startServers();
    Optional<Path> operatorSettings = Optional.of(writeOperatorSettings());
    startControllers(operatorSettings);
    cluster.bootWorkers();
    submit(4, 0.5);
    submit(40, 14);
    String firstCancelledJob = submit(8, 60);
    await("tasks run", () -> cluster.fleet().runningTaskCount() >= 20);
    cancel(firstCancelledJob);
    submit(6, 9);
    pollJobsFor(3);
    cluster.loseStateStoreData();
    submit(5, 2);
    pollJobsFor(4);
    String secondCancelledJob = submit(3, 60);
    pollJobsFor(2);
    cancel(secondCancelledJob);

    // With snapshots every second, these jobs also survive a kill of all controllers.
    submit(20, 12);
    pollJobsFor(4);
    cluster.loseStateStoreData();
    killControllers();
    startControllers(operatorSettings);
    submit(4, 1);
    await("all jobs have ended", this::haveAllJobsEnded);
    assertEquals(0, cluster.fleet().expiredLeaseCount(), "expired worker leases");
    checkOutcomes();
  }
}
