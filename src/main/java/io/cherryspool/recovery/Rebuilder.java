package io.cherryspool.recovery;

import io.cherryspool.lifecycle.EventLoop;
import io.cherryspool.store.Incarnation;
import io.cherryspool.store.KeyScan;
import io.cherryspool.store.OrphanedRecords;
import io.cherryspool.store.Records;
import io.cherryspool.store.RecordsSnapshot;
import io.cherryspool.store.RecordsSnapshotCodec;
import io.cherryspool.wire.StateStoreProtocol;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One attempt to rebuild the records. It replaces the identity record to fence all transactions of
 * the lost incarnation, reads the records that the state store still contains, writes the rebuilt
 * records, waits for the other nodes' last writes, and marks the incarnation as serving. Each
 * transaction has the version of the identity record that this attempt has written as a condition,
 * so that the attempt ends as soon as another one has begun. Confined to the event loop.
 */
final class Rebuilder {
  private static final Logger LOG = LoggerFactory.getLogger(Rebuilder.class);
  private static final Duration CONTRIBUTIONS_POLL_INTERVAL = Duration.ofMillis(300);

  private final EventLoop loop;
  private final RecoveryStore store;
  private final RecoveryTimings timings;
  private final BooleanSupplier haveAllContributed;
  private final Consumer<Boolean> onEnded;
  private final RebuildInput input;
  private final Duration startedAt;
  private final IncarnationRecordWriter incarnationWriter;
  private Optional<KeyScan> scan = Optional.empty();
  private Optional<RebuiltRecordsWriter> recordsWriter = Optional.empty();
  private RebuiltRecords rebuiltRecords;
  private boolean isStopped;

  /**
   * The input of an attempt.
   *
   * @param incarnation the identity record that fences the lost incarnation
   * @param replacedVersion the version of the identity record that it replaces, 0 if there is none
   * @param lostIncarnation the incarnation whose records were lost, empty if unknown
   * @param interruptedIncarnation the incarnation found in the state store, if it is not the lost
   *     one: usually a rebuild that was interrupted
   * @param retainedSnapshot the records that this node retains
   * @param recentWrites the jobs and outcomes that this node has acknowledged and that {@code
   *     retainedSnapshot} may lack
   * @param highestTerm the highest known term
   */
  record RebuildInput(
      Incarnation incarnation,
      long replacedVersion,
      Optional<Incarnation> lostIncarnation,
      Optional<Incarnation> interruptedIncarnation,
      RecordsSnapshot retainedSnapshot,
      List<StateStoreProtocol.Change> recentWrites,
      long highestTerm) {}

  /**
   * The records that an attempt writes.
   *
   * @param bundles the encoded jobs of the records
   * @param isComplete whether the records contain every start of a task
   */
  private record RebuiltRecords(
      RecordsSnapshot records, List<byte[]> bundles, boolean isComplete) {}

  /**
   * Creates an attempt that begins with {@link #start}.
   *
   * @param haveAllContributed whether all other nodes that reach the state store have contributed
   *     their last writes
   * @param onEnded called once at the end, with true if the rebuild was finished and false if it
   *     was superseded
   */
  Rebuilder(
      EventLoop loop,
      RecoveryStore store,
      RecoveryTimings timings,
      RebuildInput input,
      BooleanSupplier haveAllContributed,
      Consumer<Boolean> onEnded) {
    this.loop = loop;
    this.store = store;
    this.timings = timings;
    this.input = input;
    this.haveAllContributed = haveAllContributed;
    this.onEnded = onEnded;
    this.rebuiltRecords = new RebuiltRecords(input.retainedSnapshot(), List.of(), false);
    this.startedAt = loop.now();
    this.incarnationWriter = new IncarnationRecordWriter(loop, store, this::endSuperseded);
  }

  /** Stops the attempt. No callback is called afterwards. */
  void stop() {
    isStopped = true;
    incarnationWriter.stop();
    scan.ifPresent(KeyScan::cancel);
    recordsWriter.ifPresent(RebuiltRecordsWriter::stop);
  }

  /** Starts the attempt by replacing the identity record. */
  void start() {
    LOG.info(
        "rebuild started: incarnation={}, jobs={}, retained from incarnation={} revision={}",
        input.incarnation().number(),
        input.retainedSnapshot().jobs().size(),
        input.retainedSnapshot().position().incarnationNumber(),
        input.retainedSnapshot().position().revision());
    incarnationWriter.replace(
        input.incarnation(), input.replacedVersion(), this::readOrphanedRecords);
  }

  private void readOrphanedRecords(long incarnationVersion) {
    KeyScan started = store.scanAllKeys(found -> writeRecords(incarnationVersion, found.entries()));
    scan = Optional.of(started);
    started.start();
  }

  private void writeRecords(long incarnationVersion, List<StateStoreProtocol.Event> orphaned) {
    rebuiltRecords = mergeSources(orphaned);
    RebuiltRecordsWriter writer =
        new RebuiltRecordsWriter(
            loop, store, timings, input.incarnation(), incarnationVersion, this::endSuperseded);
    recordsWriter = Optional.of(writer);
    writer.write(
        rebuiltRecords.records(),
        rebuiltRecords.bundles(),
        () -> awaitContributions(incarnationVersion, loop.now().plus(timings.maxWait())));
  }

  /**
   * Merges the records that this node retains with those left in the state store and with its last
   * writes.
   */
  private RebuiltRecords mergeSources(List<StateStoreProtocol.Event> orphaned) {
    RecordsSnapshot merged =
        withOrphaned(input.retainedSnapshot(), orphaned, input.lostIncarnation());
    merged = withOrphaned(merged, orphaned, input.interruptedIncarnation());
    boolean addsToRetained =
        merged.jobs() != input.retainedSnapshot().jobs()
            || merged.term() != input.retainedSnapshot().term();
    for (StateStoreProtocol.Change change : input.recentWrites()) {
      merged = OrphanedRecords.withChange(merged, change);
    }
    RecordsSnapshot records = merged.withTermAtLeast(input.highestTerm());
    int bundleBytes = Records.maxChunkBytes(timings.maxValueBytes());
    List<byte[]> bundles = RecordsSnapshotCodec.encode(records.jobs(), bundleBytes);
    LOG.info(
        "writing the rebuilt records: incarnation={}, jobs={}, bundles={}; what was left {}",
        input.incarnation().number(),
        records.jobs().size(),
        bundles.size(),
        addsToRetained ? "adds to what is retained" : "adds nothing");
    return new RebuiltRecords(
        records, bundles, input.incarnation().isComplete() && !addsToRetained);
  }

  private static RecordsSnapshot withOrphaned(
      RecordsSnapshot known,
      List<StateStoreProtocol.Event> orphaned,
      Optional<Incarnation> incarnation) {
    return incarnation.isEmpty()
        ? known
        : SnapshotMerge.merge(known, OrphanedRecords.read(orphaned, incarnation.get()));
  }

  private void awaitContributions(long incarnationVersion, Duration deadline) {
    if (isStopped) {
      return;
    }
    if (haveAllContributed.getAsBoolean() || loop.now().compareTo(deadline) > 0) {
      finish(incarnationVersion);
    } else {
      loop.schedule(
          CONTRIBUTIONS_POLL_INTERVAL, () -> awaitContributions(incarnationVersion, deadline));
    }
  }

  private void finish(long incarnationVersion) {
    Incarnation.Manifest manifest =
        new Incarnation.Manifest(
            rebuiltRecords.bundles().size(), RecordsSnapshotCodec.digest(rebuiltRecords.bundles()));
    incarnationWriter.replace(
        input.incarnation().asCompleted(rebuiltRecords.isComplete(), manifest),
        incarnationVersion,
        finishedVersion -> end(true));
  }

  private void endSuperseded() {
    end(false);
  }

  private void end(boolean isFinished) {
    stop();
    LOG.info(
        "rebuild {}: incarnation={} is {}; jobs={}, bundles={}, durationMs={}",
        isFinished ? "finished" : "superseded",
        input.incarnation().number(),
        isFinished ? "whole" : "given up, since another node has begun the next one",
        rebuiltRecords.records().jobs().size(),
        rebuiltRecords.bundles().size(),
        loop.now().minus(startedAt).toMillis());
    onEnded.accept(isFinished);
  }
}
