package io.cherryspool.recovery;

import com.fasterxml.jackson.databind.JsonNode;
import io.cherryspool.lifecycle.EventLoop;
import io.cherryspool.store.Incarnation;
import io.cherryspool.store.KeyScan;
import io.cherryspool.store.OrphanedRecords;
import io.cherryspool.store.RateLimiter;
import io.cherryspool.store.Records;
import io.cherryspool.store.RecordsSnapshot;
import io.cherryspool.store.RecordsSnapshotCodec;
import io.cherryspool.store.StateStoreClient;
import io.cherryspool.store.StateStoreException;
import io.cherryspool.wire.StateStoreProtocol;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One attempt to rebuild the records: fence, read what is left, write, wait for the other nodes'
 * last writes, finish. Each transaction names the version of the incarnation's record that this
 * attempt has written, so that it ends as soon as another one has begun.
 */
final class Rebuilder {
  private static final Logger LOG = LoggerFactory.getLogger(Rebuilder.class);
  private static final Duration RETRY = Duration.ofMillis(300);

  private final EventLoop loop;
  private final StateStoreClient client;
  private final RateLimiter rateLimiter;
  private final RecoveryTimings timings;
  private final BooleanSupplier contributed;
  private final Consumer<Boolean> ended;
  private final Plan plan;
  private final Duration began;
  private Incarnation record;
  private long version;
  private RecordsSnapshot picture;
  private boolean complete;
  private List<byte[]> chunks = List.of();
  private Duration contributionsUntil;
  private KeyScan scan;
  private boolean stopped;

  /**
   * What an attempt starts from.
   *
   * @param record the incarnation's record as it is to be written first
   * @param replaces the version of the record that it replaces, 0 if there is none
   * @param lost the incarnation whose records were lost, null if not known
   * @param interrupted a rebuild that was cut off, null if none was
   * @param memory what this node remembers
   * @param recent what it has told users of, that is not in its memory yet
   * @param term the highest term heard of
   */
  record Plan(
      Incarnation record,
      long replaces,
      Incarnation lost,
      Incarnation interrupted,
      RecordsSnapshot memory,
      List<StateStoreProtocol.Change> recent,
      long term) {}

  /**
   * @param contributed whether all other nodes have added what they know
   * @param ended told once whether the rebuild was finished
   */
  Rebuilder(
      EventLoop loop,
      StateStoreClient client,
      RateLimiter rateLimiter,
      RecoveryTimings timings,
      Plan plan,
      BooleanSupplier contributed,
      Consumer<Boolean> ended) {
    this.loop = loop;
    this.client = client;
    this.rateLimiter = rateLimiter;
    this.timings = timings;
    this.plan = plan;
    this.contributed = contributed;
    this.ended = ended;
    this.record = plan.record();
    this.picture = plan.memory();
    this.began = loop.now();
  }

  /** The number of the incarnation that is being built. */
  long number() {
    return record.number();
  }

  void stop() {
    stopped = true;
    if (scan != null) {
      scan.cancel();
    }
  }

  void start() {
    LOG.info(
        "rebuilding as incarnation {} from {} jobs remembered up to incarnation {} revision {}",
        record.number(),
        picture.jobs().size(),
        plan.memory().position().incarnationNumber(),
        plan.memory().position().revision());
    replaceRecord(plan.replaces(), this::readRemains);
  }

  /** Writes the incarnation's record, and goes on once it is there. */
  private void replaceRecord(long replaces, Runnable next) {
    if (stopped) {
      return;
    }
    rateLimiter.forceAcquire(1);
    StateStoreProtocol.Change change =
        new StateStoreProtocol.Change(Incarnation.KEY, record.encode(), 0);
    client
        .commitPhysical(Map.of(Incarnation.KEY, replaces), List.of(change))
        .whenComplete(
            (result, failure) -> {
              if (stopped) {
                return;
              }
              if (failure == null && result.applied()) {
                version = result.revision();
                next.run();
              } else {
                // An answer may be lost, and a copy of the transaction be refused for the first.
                loop.schedule(RETRY, () -> lookForRecord(replaces, next));
              }
            });
  }

  private void lookForRecord(long replaces, Runnable next) {
    if (stopped) {
      return;
    }
    rateLimiter.forceAcquire(0);
    client
        .readIncarnation()
        .whenComplete(
            (reading, failure) -> {
              if (stopped) {
                return;
              }
              if (failure != null) {
                loop.schedule(RETRY, () -> lookForRecord(replaces, next));
              } else if (record.equals(reading.incarnation())) {
                version = reading.version();
                next.run();
              } else if (reading.version() == replaces) {
                replaceRecord(replaces, next);
              } else {
                end(false, "another node has begun");
              }
            });
  }

  private void readRemains() {
    scan =
        new KeyScan(loop, client, rateLimiter, Records.PREFIX, all -> writePicture(all.entries()));
    scan.start();
  }

  private void writePicture(List<StateStoreProtocol.Event> left) {
    RecordsSnapshot known = plan.memory();
    boolean added = false;
    for (Incarnation earlier : new Incarnation[] {plan.lost(), plan.interrupted()}) {
      if (earlier != null) {
        RecordsSnapshot remains = OrphanedRecords.read(left, earlier);
        RecordsSnapshot merged = SnapshotMerge.merge(known, remains);
        added |= merged.jobs() != known.jobs() || merged.term() != known.term();
        known = merged;
      }
    }
    complete = record.isComplete() && !added;
    picture = withRecent(known, plan.recent()).withTermAtLeast(plan.term());
    chunks =
        RecordsSnapshotCodec.encode(picture.jobs(), Records.maxChunkBytes(timings.maxValueBytes()));
    LOG.info(
        "writing {} jobs in {} bundles as incarnation {}; what was left {}",
        picture.jobs().size(),
        chunks.size(),
        record.number(),
        added ? "added to what is remembered" : "adds nothing");
    writeBundles(0);
  }

  private static RecordsSnapshot withRecent(
      RecordsSnapshot known, List<StateStoreProtocol.Change> recent) {
    RecordsSnapshot result = known;
    for (StateStoreProtocol.Change change : recent) {
      result = OrphanedRecords.withCommitted(result, change);
    }
    return result;
  }

  private void writeBundles(int from) {
    if (stopped) {
      return;
    }
    List<StateStoreProtocol.Change> changes = new ArrayList<>();
    int bytes = 0;
    int next = from;
    while (next < chunks.size() && changes.size() < timings.maxTransactionChanges()) {
      int size = chunks.get(next).length * 4 / 3 + StateStoreProtocol.CHANGE_OVERHEAD_BYTES;
      if (bytes + size > StateStoreProtocol.MAX_TRANSACTION_VALUE_BYTES && !changes.isEmpty()) {
        break;
      }
      changes.add(change(Records.bundleKey(next), Records.encodeBundle(chunks.get(next))));
      bytes += size;
      next++;
    }
    if (changes.isEmpty()) {
      writeTerm();
      return;
    }
    int done = next;
    commit(changes, () -> writeBundles(done));
  }

  private void writeTerm() {
    List<StateStoreProtocol.Change> changes = new ArrayList<>();
    changes.add(change(Records.TERM, Records.encodeTerm(picture.term())));
    if (picture.catalog() != null) {
      changes.add(change(Records.CATALOG, picture.catalog()));
    }
    commit(
        changes,
        () -> {
          contributionsUntil = loop.now().plus(timings.maxWait());
          awaitContributions();
        });
  }

  private StateStoreProtocol.Change change(String key, JsonNode value) {
    return new StateStoreProtocol.Change(record.toPhysical(key), value, 0);
  }

  private void commit(List<StateStoreProtocol.Change> changes, Runnable next) {
    if (stopped) {
      return;
    }
    Duration sent = loop.now();
    rateLimiter.forceAcquire(changes.size());
    client
        .commitPhysical(Map.of(Incarnation.KEY, version), changes)
        .whenComplete(
            (result, failure) -> {
              if (stopped) {
                return;
              }
              if (failure == null && !result.applied()) {
                end(false, "another node has begun");
              } else if (failure != null) {
                // What was applied already may be written once more: the same again.
                LOG.debug("writing the rebuilt records failed: {}", failure.toString());
                boolean busy =
                    StateStoreException.kindOf(failure) == StateStoreException.Kind.RATE_LIMITED;
                loop.schedule(busy ? Duration.ofSeconds(1) : RETRY, () -> commit(changes, next));
              } else {
                paced(sent, changes.size(), next);
              }
            });
  }

  /** The next transaction goes when the service's limit on changes allows for this one. */
  private void paced(Duration sent, int changes, Runnable next) {
    Duration due = sent.plusNanos((long) (changes * 1e9 / timings.changesPerSecond()));
    Duration wait = due.minus(loop.now());
    loop.schedule(wait.isNegative() ? Duration.ZERO : wait, next);
  }

  private void awaitContributions() {
    if (stopped) {
      return;
    }
    if (contributed.getAsBoolean() || loop.now().compareTo(contributionsUntil) > 0) {
      record =
          record.completed(
              complete,
              new Incarnation.Manifest(chunks.size(), RecordsSnapshotCodec.digest(chunks)));
      replaceRecord(version, () -> end(true, "whole"));
    } else {
      loop.schedule(RETRY, this::awaitContributions);
    }
  }

  private void end(boolean finished, String why) {
    stopped = true;
    LOG.info(
        "incarnation {} is {}: {} jobs in {} bundles after {} ms",
        record.number(),
        finished ? "whole" : "given up, since " + why,
        picture.jobs().size(),
        chunks.size(),
        loop.now().minus(began).toMillis());
    ended.accept(finished);
  }
}
