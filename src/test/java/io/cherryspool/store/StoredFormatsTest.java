package io.cherryspool.store;

import static io.cherryspool.compatibility.RecordedBytes.assertRecorded;
import static io.cherryspool.compatibility.RecordedBytes.readJson;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import io.cherryspool.compatibility.SampleRecords;
import io.cherryspool.model.Attempt;
import io.cherryspool.model.Job;
import io.cherryspool.model.Outcome;
import io.cherryspool.model.Shard;
import io.cherryspool.wire.CloudProtocol;
import io.cherryspool.wire.MalformedMessageException;
import io.cherryspool.wire.StateStoreProtocol;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.pcollections.PMap;

/**
 * Tests that the records, their keys and the transactions that write them have the format of
 * version 0.1.0: each record is written as in that version, and records written by that version are
 * read and written again unchanged.
 */
class StoredFormatsTest {
  private static final Incarnation REBUILDING =
      Incarnation.newRebuild(
          "cluster-1",
          3,
          "9f3a",
          "node-1-life-4",
          new Incarnation.HistoryPosition(2, 123_456_789),
          true);

  private static final Incarnation REBUILT =
      REBUILDING.asCompleted(
          false, new Incarnation.Manifest(2, "00112233445566778899aabbccddeeff"));

  /**
   * The maximum size of a chunk of {@link SampleRecords#jobs}, small enough for several bundles.
   */
  private static final int CHUNK_BYTES = 420;

  private static final int BUNDLES = 2;

  @Test
  void jobsKeepTheirFormat() throws MalformedMessageException {
    checkJob("job-constrained.json", SampleRecords.CONSTRAINED_JOB);
    checkJob("job-plain.json", SampleRecords.PLAIN_JOB);
  }

  private static void checkJob(String name, Job expected) throws MalformedMessageException {
    assertRecorded(name, Records.encodeJob(expected, SampleRecords.TASKS_PER_SHARD));
    JsonNode recorded = readJson(name);
    Job job = Records.decodeJob(recorded);
    assertEquals(expected, job);
    assertEquals(SampleRecords.TASKS_PER_SHARD, Records.decodeTasksPerShard(recorded));
    assertRecorded(name, Records.encodeJob(job, Records.decodeTasksPerShard(recorded)));
  }

  @Test
  void outcomesKeepTheirFormat() throws MalformedMessageException {
    checkOutcome("outcome-done.json", Outcome.DONE);
    checkOutcome("outcome-cancelled.json", Outcome.CANCELLED);
  }

  private static void checkOutcome(String name, Outcome expected) throws MalformedMessageException {
    assertRecorded(name, Records.encodeOutcome(expected));
    Outcome read = Records.decodeOutcome(readJson(name));
    assertEquals(expected, read);
    assertRecorded(name, Records.encodeOutcome(read));
  }

  @Test
  void progressKeepsItsFormat() throws MalformedMessageException {
    String name = "progress.json";
    assertRecorded(name, Records.encodeShard(SampleRecords.shard()));
    Shard read = Records.decodeShard(readJson(name));
    assertEquals(11, read.doneCount());
    assertTrue(read.isDone(9) && read.isDone(12));
    assertFalse(read.isDone(10) || read.isDone(11));
    assertEquals(2, read.ownedAttempts().size());
    assertEquals(new Attempt(10, "host-000003", 2, 1, 77), read.ownedAttempt(10));
    assertEquals(new Attempt(14, "host-000120", 1, 3, 1L << 33), read.ownedAttempt(14));
    assertEquals(3, read.histories().size());
    assertEquals(new Shard.History(5, 5), read.history(15));
    assertRecorded(name, Records.encodeShard(read));
    assertRecorded("progress-empty.json", Records.encodeShard(Shard.EMPTY));
    Shard empty = Records.decodeShard(readJson("progress-empty.json"));
    assertRecorded("progress-empty.json", Records.encodeShard(empty));
  }

  @Test
  void termsKeepTheirFormat() throws MalformedMessageException {
    assertRecorded("term.json", Records.encodeTerm(41));
    assertEquals(41, Records.decodeTerm(readJson("term.json")));
  }

  @Test
  void leadersKeepTheirFormat() throws MalformedMessageException {
    Records.Leader leader = new Records.Leader(41, "node-2", "node-2-life-7", 9_000_000_001L);
    assertRecorded("leader.json", Records.encodeLeader(leader));
    Records.Leader read = Records.decodeLeader(readJson("leader.json"));
    assertEquals(leader, read);
    assertRecorded("leader.json", Records.encodeLeader(read));
  }

  @Test
  void successorsKeepTheirFormat() throws MalformedMessageException {
    Records.Successor successor = new Records.Successor(41, "node-1", "node-2");
    assertRecorded("successor.json", Records.encodeSuccessor(successor));
    Records.Successor read = Records.decodeSuccessor(readJson("successor.json"));
    assertEquals(successor, read);
    assertRecorded("successor.json", Records.encodeSuccessor(read));
  }

  @Test
  void catalogsKeepTheirFormat() throws MalformedMessageException {
    assertRecorded("catalog.json", CloudProtocol.encodeCatalog(SampleRecords.CATALOG));
    JsonNode recorded = readJson("catalog.json");
    assertEquals(SampleRecords.CATALOG, CloudProtocol.parseCatalog(recorded));
    assertRecorded(
        "catalog.json", CloudProtocol.encodeCatalog(CloudProtocol.parseCatalog(recorded)));
  }

  @Test
  void markersOfUnknownAndHeldJobsKeepTheirFormat() throws MalformedMessageException {
    assertRecorded("mark.json", Records.presenceMarker());
    assertFalse(Records.isAbandoned(readJson("mark.json")));
    assertRecorded("abandoned.json", Records.abandonedMarker());
    assertTrue(Records.isAbandoned(readJson("abandoned.json")));
  }

  @Test
  void incarnationsKeepTheirFormat() throws MalformedMessageException {
    checkIncarnation("incarnation-first.json", Incarnation.firstInstallation("cluster-1"));
    checkIncarnation("incarnation-rebuilding.json", REBUILDING);
    checkIncarnation("incarnation-rebuilt.json", REBUILT);
  }

  private static void checkIncarnation(String name, Incarnation expected)
      throws MalformedMessageException {
    assertRecorded(name, expected.encode());
    Incarnation read = Incarnation.decode(readJson(name));
    assertEquals(expected, read);
    assertRecorded(name, read.encode());
  }

  @Test
  void bundlesOfARebuildKeepTheirFormat() throws MalformedMessageException {
    List<byte[]> chunks = RecordsSnapshotCodec.encode(SampleRecords.jobs(), CHUNK_BYTES);
    assertEquals(BUNDLES, chunks.size());
    for (int i = 0; i < BUNDLES; i++) {
      assertRecorded("bundle-" + i + ".json", Records.encodeBundle(chunks.get(i)));
    }
    List<byte[]> read = new ArrayList<>();
    for (int i = 0; i < BUNDLES; i++) {
      read.add(Records.decodeBundle(readJson("bundle-" + i + ".json")));
    }
    assertEquals("dab1fb5d02b54b61a9988761f201bad1", RecordsSnapshotCodec.digest(read));
    PMap<String, RecordsSnapshot.JobSnapshot> jobs = RecordsSnapshotCodec.decode(read);
    assertEquals(2, jobs.size());
    assertEquals(Outcome.CANCELLED, jobs.get("req-000007").outcome());
    RecordsSnapshot.JobSnapshot running = jobs.get("req-000412");
    assertEquals(SampleRecords.CONSTRAINED_JOB, running.job());
    assertEquals(11, running.shards().get(0).doneCount());
    assertEquals(50, running.shards().get(2).doneCount());
    List<byte[]> again = RecordsSnapshotCodec.encode(jobs, CHUNK_BYTES);
    for (int i = 0; i < BUNDLES; i++) {
      assertRecorded("bundle-" + i + ".json", Records.encodeBundle(again.get(i)));
    }
  }

  /** The keys of the first incarnation and those of a rebuild have different prefixes. */
  @Test
  void keysKeepTheirNames() {
    Map<String, String> expected = new LinkedHashMap<>();
    expected.put("c/term", Records.TERM);
    expected.put("c/leader", Records.LEADER);
    expected.put("c/successor", Records.SUCCESSOR);
    expected.put("c/catalog", Records.CATALOG);
    expected.put("c/settled", Records.RECONCILED);
    expected.put("c/incarnation", Incarnation.KEY);
    expected.put("c/jobs/req-000412", Records.jobKey("req-000412"));
    expected.put("c/outcomes/req-000412", Records.outcomeKey("req-000412"));
    expected.put("c/progress/req-000412/2", Records.progressKey("req-000412", 2));
    expected.put("c/bundles/00000012", Records.bundleKey(12));
    expected.put("c/unknown/req-000412", Records.unknownJobKey("req-000412"));
    expected.put("c/held/req-000412", Records.heldJobKey("req-000412"));
    expected.forEach((key, written) -> assertEquals(key, written));
    assertEquals("c/jobs/x", Incarnation.firstInstallation("cluster-1").toPhysicalKey("c/jobs/x"));
    assertEquals("c/@3-9f3a/jobs/x", REBUILT.toPhysicalKey("c/jobs/x"));
    KeySpace space = new KeySpace();
    space.switchTo(REBUILT, 88);
    assertEquals("c/jobs/x", space.toLogicalKey("c/@3-9f3a/jobs/x"));
  }

  /**
   * Each transaction has the version of the identity record as a condition. Deletions and leases
   * are written unchanged, except that a record in a bundle is replaced by an empty value.
   */
  @Test
  void fencedTransactionsKeepTheirFormat() {
    KeySpace first = new KeySpace();
    first.switchTo(Incarnation.firstInstallation("cluster-1"), 1);
    assertRecorded("transaction-first.http", first.fencedTransaction(conditions(), changes()));
    KeySpace rebuilt = new KeySpace();
    rebuilt.switchTo(REBUILT, 88);
    rebuilt.addBundled(Records.progressKey("req-000412", 2));
    assertRecorded("transaction-rebuilt.http", rebuilt.fencedTransaction(conditions(), changes()));
  }

  private static Map<String, Long> conditions() {
    Map<String, Long> conditions = new LinkedHashMap<>();
    conditions.put(Records.TERM, 40L);
    conditions.put(Records.progressKey("req-000412", 0), 1L << 40);
    conditions.put(Records.outcomeKey("req-000412"), 0L);
    return conditions;
  }

  private static List<StateStoreProtocol.Change> changes() {
    return List.of(
        new StateStoreProtocol.Change(
            Records.progressKey("req-000412", 0), Records.encodeShard(SampleRecords.shard()), 0),
        new StateStoreProtocol.Change(Records.progressKey("req-000412", 2), null, 0),
        new StateStoreProtocol.Change(
            Records.LEADER,
            Records.encodeLeader(new Records.Leader(41, "node-2", "node-2-life-7", 5)),
            5));
  }
}
