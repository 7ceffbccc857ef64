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
 * One attempt to rebuild the records: fence, read what is left, write, wait for the other nodes'
 * last writes, finish. Each transaction names the version of the incarnation's record that this
 * attempt has written, so that it ends as soon as another one has begun. Confined to the event
 * loop.
 */
final class Rebuilder {
  private static final Logger LOG = LoggerFactory.getLogger(Rebuilder.class);
  private static final Duration CONTRIBUTIONS_POLL_INTERVAL = Duration.ofMillis(300);

  private final EventLoop loop;
  private final RecoveryStore store;
  private final RecoveryTimings timings;
  private final BooleanSupplier haveAllContributed;
  private final Consumer<Boolean> onEnded;
  private final Plan plan;
  private final Duration startedAt;
  private final IncarnationRecordWriter incarnationWriter;
  private Optional<KeyScan> scan = Optional.empty();
  private Optional<RebuiltRecordsWriter> recordsWriter = Optional.empty();
  private Result result;
  private boolean isStopped;

  /**
   * What an attempt starts from.
   *
   * @param incarnation the incarnation's record as it is to be written first
   * @param replacedVersion the version of the record that it replaces, 0 if there is none
   * @param lost the incarnation whose records were lost, empty if not known
   * @param interrupted a rebuild that was interrupted, empty if none was
   * @param retained what this node retains
   * @param recentWrites what it has acknowledged to users beyond that
   * @param highestTerm the highest term known
   */
  record Plan(
      Incarnation incarnation,
      long replacedVersion,
      Optional<Incarnation> lost,
      Optional<Incarnation> interrupted,
      RecordsSnapshot retained,
      List<StateStoreProtocol.Change> recentWrites,
      long highestTerm) {}

  /**
   * What is written.
   *
   * @param bundles the encoded jobs of the records
   * @param isComplete whether the records hold every start that was ever commanded
   */
  private record Result(RecordsSnapshot records, List<byte[]> bundles, boolean isComplete) {}

  /**
   * An attempt that begins with {@link #start}.
   *
   * @param haveAllContributed whether all other nodes have added what they know
   * @param onEnded called once with whether the rebuild was finished
   */
  Rebuilder(
      EventLoop loop,
      RecoveryStore store,
      RecoveryTimings timings,
      Plan plan,
      BooleanSupplier haveAllContributed,
      Consumer<Boolean> onEnded) {
    this.loop = loop;
    this.store = store;
    this.timings = timings;
    this.plan = plan;
    this.haveAllContributed = haveAllContributed;
    this.onEnded = onEnded;
    this.result = new Result(plan.retained(), List.of(), false);
    this.startedAt = loop.now();
    this.incarnationWriter = new IncarnationRecordWriter(loop, store, this::endSuperseded);
  }

  /** Ends the attempt where it is; nothing is called any more. */
  void stop() {
    isStopped = true;
    incarnationWriter.stop();
    scan.ifPresent(KeyScan::cancel);
    recordsWriter.ifPresent(RebuiltRecordsWriter::stop);
  }

  /** Begins the attempt with the fence. */
  void start() {
    LOG.info(
        "rebuild started: incarnation={}, jobs={}, retained from incarnation={} revision={}",
        plan.incarnation().number(),
        plan.retained().jobs().size(),
        plan.retained().position().incarnationNumber(),
        plan.retained().position().revision());
    incarnationWriter.replace(
        plan.incarnation(), plan.replacedVersion(), this::readOrphanedRecords);
  }

  private void readOrphanedRecords(long incarnationVersion) {
    KeyScan started = store.scanAllKeys(found -> writeRecords(incarnationVersion, found.entries()));
    scan = Optional.of(started);
    started.start();
  }

  private void writeRecords(long incarnationVersion, List<StateStoreProtocol.Event> orphaned) {
    result = join(orphaned);
    RebuiltRecordsWriter writer =
        new RebuiltRecordsWriter(
            loop, store, timings, plan.incarnation(), incarnationVersion, this::endSuperseded);
    recordsWriter = Optional.of(writer);
    writer.write(
        result.records(),
        result.bundles(),
        () -> awaitContributions(incarnationVersion, loop.now().plus(timings.maxWait())));
  }

  /** Joins what this node retains with what is left in the store, and with its last writes. */
  private Result join(List<StateStoreProtocol.Event> orphaned) {
    RecordsSnapshot known = withOrphaned(plan.retained(), orphaned, plan.lost());
    known = withOrphaned(known, orphaned, plan.interrupted());
    boolean isExtended =
        known.jobs() != plan.retained().jobs() || known.term() != plan.retained().term();
    for (StateStoreProtocol.Change change : plan.recentWrites()) {
      known = OrphanedRecords.withCommitted(known, change);
    }
    RecordsSnapshot records = known.withTermAtLeast(plan.highestTerm());
    int bundleBytes = Records.maxChunkBytes(timings.maxValueBytes());
    List<byte[]> bundles = RecordsSnapshotCodec.encode(records.jobs(), bundleBytes);
    LOG.info(
        "writing the rebuilt records: incarnation={}, jobs={}, bundles={}; what was left {}",
        plan.incarnation().number(),
        records.jobs().size(),
        bundles.size(),
        isExtended ? "adds to what is retained" : "adds nothing");
    return new Result(records, bundles, plan.incarnation().isComplete() && !isExtended);
  }

  private static RecordsSnapshot withOrphaned(
      RecordsSnapshot known,
      List<StateStoreProtocol.Event> orphaned,
      Optional<Incarnation> earlier) {
    return earlier.isEmpty()
        ? known
        : SnapshotMerge.merge(known, OrphanedRecords.read(orphaned, earlier.get()));
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
            result.bundles().size(), RecordsSnapshotCodec.digest(result.bundles()));
    incarnationWriter.replace(
        plan.incarnation().completed(result.isComplete(), manifest),
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
        plan.incarnation().number(),
        isFinished ? "whole" : "given up, since another node has begun the next one",
        result.records().jobs().size(),
        result.bundles().size(),
        loop.now().minus(startedAt).toMillis());
    onEnded.accept(isFinished);
  }
}
