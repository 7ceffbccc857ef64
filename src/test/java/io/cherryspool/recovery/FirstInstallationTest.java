package io.cherryspool.recovery;

import static io.cherryspool.recovery.RecoveryFixture.JOB;
import static io.cherryspool.recovery.RecoveryFixture.submissionOf;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cherryspool.recovery.RecoveryFixture.Node;
import io.cherryspool.store.Incarnation;
import io.cherryspool.store.RecordsSnapshot;
import io.cherryspool.wire.StateStoreProtocol;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/**
 * Tests how a node treats a state store without an identity record, or with the records of another
 * cluster.
 */
class FirstInstallationTest {
  private final RecoveryFixture fixture = new RecoveryFixture();

  @Test
  void anEmptyStoreIsAFirstInstallationIfNoNodeRetainsRecords() {
    Node node = fixture.newNode(RecordsSnapshot.EMPTY);
    fixture.run(8);
    assertTrue(node.recovery().isServing());
    assertEquals(0, node.recovery().statistics().losses());
    assertEquals(0, node.recovery().retainedRecords().position().incarnationNumber());
  }

  @Test
  void recordsWithoutAnIdentityRecordAreServed() {
    fixture
        .store()
        .handle(StateStoreProtocol.transactionRequest(Map.of(), List.of(submissionOf(JOB))));
    Node node = fixture.newNode(RecordsSnapshot.EMPTY);
    node.reportWorkerToken();
    fixture.run(8);
    assertTrue(node.recovery().isServing());
    assertEquals(0, node.recovery().statistics().losses());
    assertNotNull(node.replica().job(JOB));
  }

  @Test
  void anEmptyStoreIsALossIfAWorkerHasReportedAToken() {
    Node node = fixture.newNode(RecordsSnapshot.EMPTY);
    node.reportWorkerToken();
    fixture.run(10);
    assertEquals(1, node.recovery().statistics().losses());
    assertTrue(node.recovery().isServing());
    assertTrue(
        node.recovery().retainedRecords().position().incarnationNumber() > 0,
        "not a first installation");
    assertTrue(node.replica().isPartialRebuild());
  }

  @Test
  void recordsOfAnotherClusterAreNeitherUsedNorOverwritten() {
    Node node = fixture.newServingNode();
    fixture.store().loseAllData();
    fixture
        .store()
        .handle(
            StateStoreProtocol.transactionRequest(
                Map.of(),
                List.of(
                    new StateStoreProtocol.Change(
                        Incarnation.KEY, Incarnation.firstInstallation("x").encode(), 0))));
    fixture.run(20);
    assertFalse(node.recovery().isServing());
    assertTrue(node.recovery().statistics().hasFoundOtherCluster());
    assertEquals(
        "x",
        fixture.store().value(Incarnation.KEY).path("cluster").asText(),
        "the records of the other cluster are not overwritten");
  }
}
