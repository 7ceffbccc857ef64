package io.cherryspool.sim.loopback;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Five controllers as processes of their own and a few dozen fake workers, on real sockets of this
 * machine. The state store's data is deleted while work runs, once under the controllers and once
 * together with all of them; each job's answers are held against a record kept here.
 */
class LostStateLoopbackTest extends LoopbackFixture {
  private static final int SERVICES = 81;
  private static final int CONTROLLERS = 5;
  private static final int MACHINES = 24;

  LostStateLoopbackTest() {
    super(
        CONTROLLERS,
        new LoopbackCluster(
            SERVICES, CONTROLLERS, MACHINES, new LoopbackNodes.Limits(300, 120, 1024, 0)));
  }

  private Path operators() throws IOException {
    Path operators = folder.resolve("operators.xml");
    return Files.writeString(
        operators,
        "<cherryspool><recovery>on</recovery><snapshot-directory>"
            + folder.resolve("snapshots")
            + "</snapshot-directory><snapshot-interval>1</snapshot-interval></cherryspool>\n");
  }

  @Test
  @Timeout(240)
  void everyJobGetsItsOneAnswer() throws Exception {
    cluster.listen();
    Optional<Path> operators = Optional.of(operators());
    startControllers(operators);
    cluster.bootWorkers();
    submit(4, 0.5);
    submit(40, 14);
    String first = submit(8, 60);
    until("tasks run", () -> cluster.fleet().runningTaskCount() >= 20);
    cancel(first);
    submit(6, 9);
    pollFor(3);
    cluster.loseStateStoreData();
    submit(5, 2);
    pollFor(4);
    String second = submit(3, 60);
    pollFor(2);
    cancel(second);

    // What snapshots of one second's age have seen survives all controllers as well.
    submit(20, 12);
    pollFor(4);
    cluster.loseStateStoreData();
    killControllers();
    startControllers(operators);
    submit(4, 1);
    until("all jobs have ended", this::allEnded);
    assertEquals(0, cluster.fleet().expiredLeases(), "no worker lost its tasks");
    checkAnswers();
  }
}
