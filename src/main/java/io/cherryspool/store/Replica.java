package io.cherryspool.store;

import com.fasterxml.jackson.databind.JsonNode;
import io.cherryspool.lifecycle.EventLoop;
import io.cherryspool.lifecycle.Lifecycle;
import io.cherryspool.model.MachineType;
import io.cherryspool.wire.MalformedMessageException;
import io.cherryspool.wire.StateStoreProtocol;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * This node's copy of the state, always some prefix of its history. A watch keeps it near the end;
 * {@link #refresh} brings it to a moment after the call, which is what an answer that must not be
 * old needs. Requests that wait at the same time share one reading.
 */
public final class Replica implements ClusterRecords, Lifecycle {
  private static final Logger LOG = LoggerFactory.getLogger(Replica.class);
  private static final Duration WATCH = Duration.ofSeconds(10);
  private static final Duration RETRY = Duration.ofMillis(300);

  /** A watch that returned is opened again after this, so that a busy time costs few requests. */
  private static final Duration WATCH_GAP = Duration.ofMillis(100);

  private final EventLoop loop;
  private final StateStoreClient client;
  private final RateLimiter rateLimiter;
  private final Duration refreshGap;
  private final Duration slow;
  private final List<Runnable> listeners = new ArrayList<>();
  private Runnable onFirstLoaded = () -> {};

  private final RecordIndex index;
  private RollbackDetector enableRollbackDetection = RollbackDetector.DISABLED;
  private SnapshotTracker pictures;
  private boolean running;
  private boolean isLoaded;
  private ReplicaLoader loader;
  private long revision;
  private Duration lastConfirmedAt;
  private List<CompletableFuture<Void>> waiting = new ArrayList<>();
  private int generation;

  /** The versions of records that are never removed, by key; empty while nothing is guarded. */
  private final Map<String, Long> permanent = new HashMap<>();

  /** Whether what is known is of the present incarnation. */
  private boolean entered;

  private LastChange lastChange;
  private Duration readingSince;
  private Duration lastReading;
  private EventLoop.Timer readTimer;
  private EventLoop.Timer watchTimer;

  public Replica(
      EventLoop loop,
      StateStoreClient client,
      RateLimiter rateLimiter,
      Duration refreshGap,
      Duration slow) {
    this.loop = loop;
    this.client = client;
    this.rateLimiter = rateLimiter;
    this.refreshGap = refreshGap;
    this.slow = slow;
    this.lastReading = loop.now().minus(refreshGap);
    this.index = new RecordIndex(client.keySpace());
  }

  @Override
  public void addListener(RecordsListener watcher) {
    index.watch(watcher);
  }

  @Override
  public void removeListener(RecordsListener watcher) {
    index.unwatch(watcher);
  }

  /** Called once all keys have first been read. */
  public void onFirstLoaded(Runnable listener) {
    onFirstLoaded = listener;
  }

  /** Called after each batch of changes. */
  @Override
  public void onChange(Runnable listener) {
    listeners.add(listener);
  }

  /**
   * Holds every answer against the history that is known. The copy then reads nothing before it is
   * told which incarnation to {@link #enter}.
   */
  public void enableRollbackDetection(RollbackDetector with) {
    enableRollbackDetection = with;
    client.setRollbackDetector(with);
    pictures = new SnapshotTracker(index);
    index.watch(pictures);
  }

  @Override
  public void start() {
    running = true;
    if (pictures == null) {
      load(-1);
    }
  }

  /**
   * Reads the records of an incarnation, and goes on with them.
   *
   * @param version the version of the incarnation's record
   * @param since the revision at which that record was read
   */
  public void enter(Incarnation incarnation, long version, long since) {
    suspend();
    client.keySpace().enter(incarnation, version);
    permanent.clear();
    entered = false;
    revision = 0;
    lastChange = null;
    load(since);
  }

  /** Stops reading. What was read stays known; nothing new is learnt, and nothing is confirmed. */
  public void suspend() {
    isLoaded = false;
    generation++;
    readingSince = null;
    if (loader != null) {
      loader.cancel();
      loader = null;
    }
    cancel(readTimer);
    readTimer = null;
    cancel(watchTimer);
    watchTimer = null;
    failWaiting("the records are not to be relied on");
  }

  /** Whether the records of an incarnation are being read. */
  public boolean isLoading() {
    return loader != null;
  }

  /**
   * The jobs and ends that this copy has seen written after a revision of its history, as they
   * would be written again.
   */
  @Override
  public List<StateStoreProtocol.Change> immutableRecordsSince(long after) {
    List<StateStoreProtocol.Change> result = new ArrayList<>();
    permanent.forEach(
        (key, version) -> {
          JsonNode value = version > after ? index.permanentRecord(key) : null;
          if (value != null) {
            result.add(new StateStoreProtocol.Change(key, value, 0));
          }
        });
    return result;
  }

  /** What this copy would contribute to a rebuild. */
  @Override
  public RecordsSnapshot snapshot() {
    Incarnation incarnation = client.keySpace().incarnation();
    if (!entered) {
      return RecordsSnapshot.EMPTY;
    }
    return new RecordsSnapshot(
        incarnation.cluster(),
        incarnation.nonce(),
        new Incarnation.HistoryPosition(incarnation.number(), revision),
        index.term(),
        index.catalogRecord(),
        pictures.jobs());
  }

  /** Whether a leader has taken in what ran when the state was lost, if it ever was. */
  @Override
  public boolean isReconciled() {
    Incarnation incarnation = client.keySpace().incarnation();
    return incarnation == null || incarnation.isComplete() || index.settled();
  }

  /**
   * What names of rental requests begin with. A name must never be used again, and after a loss the
   * terms that were given out need not all be known.
   */
  @Override
  public String instanceRequestPrefix() {
    Incarnation incarnation = client.keySpace().incarnation();
    return incarnation == null || incarnation.number() == 0
        ? "cs-"
        : "cs-" + incarnation.nonce() + "-";
  }

  /** Whether the records were rebuilt from less than all that was ever ordered. */
  @Override
  public boolean isPartialRebuild() {
    Incarnation incarnation = client.keySpace().incarnation();
    return incarnation != null && !incarnation.isComplete();
  }

  /**
   * Whether the records hold every start and nothing waits for users or operators since an earlier
   * loss. What waits is not part of a picture; after another loss it is found again by reports.
   */
  @Override
  public boolean isFullyReconciled() {
    return isReconciled()
        && index.unknown().isEmpty()
        && index.abandoned().isEmpty()
        && index.held().isEmpty();
  }

  /** Whether workers report this job, which nobody has described since the state was lost. */
  @Override
  public boolean isUnknownJob(String id) {
    return index.unknown().contains(id);
  }

  /** The jobs that workers report and that nobody has described since the state was lost. */
  @Override
  public Set<String> unknownJobs() {
    return index.unknown();
  }

  /** Whether an operator has given up this job, which nobody has described. */
  @Override
  public boolean isAbandoned(String id) {
    return index.abandoned().contains(id);
  }

  /** The jobs that wait for an operator, since their tasks may have ended unseen. */
  @Override
  public Set<String> heldJobs() {
    return index.held();
  }

  /** Whether the job is from a rebuilt picture, not submitted since. */
  @Override
  public boolean isRebuilt(String id) {
    return index.rebuilt(id);
  }

  /** The revision that the copy has reached. */
  @Override
  public long revision() {
    return revision;
  }

  @Override
  public void stop() {
    running = false;
    if (loader != null) {
      loader.cancel();
      loader = null;
    }
    cancel(readTimer);
    cancel(watchTimer);
    failWaiting("stopped");
  }

  @Override
  public boolean isLoaded() {
    return isLoaded;
  }

  /** When the last reading that succeeded was sent; null before the first. */
  @Override
  public Duration lastConfirmedAt() {
    return lastConfirmedAt;
  }

  /** The jobs with anything left to do: not ended, or with progress records still kept. */
  @Override
  public Collection<JobRecord> activeJobs() {
    return index.active();
  }

  /** All jobs ever accepted. */
  @Override
  public Collection<JobRecord> jobs() {
    return index.jobs();
  }

  /** How many jobs were ever accepted. */
  @Override
  public int jobCount() {
    return index.jobCount();
  }

  /** The job, or null. */
  @Override
  public JobRecord job(String id) {
    return index.job(id);
  }

  @Override
  public long term() {
    return index.term();
  }

  @Override
  public long termVersion() {
    return index.termVersion();
  }

  /** Who leads, or null. */
  @Override
  public Records.Leader leader() {
    return index.leader();
  }

  /** The version of the leader's record, 0 if there is none. */
  @Override
  public long leaderVersion() {
    return index.leaderVersion();
  }

  /** Whom the last leader of this term made way for; null if it did not. */
  @Override
  public Records.Successor successor() {
    return index.successor();
  }

  /** The machine types as some leader last wrote them, or null. */
  @Override
  public List<MachineType> catalog() {
    return index.catalog();
  }

  @Override
  public long catalogVersion() {
    return index.catalogVersion();
  }

  /**
   * Completes once the copy holds everything committed before this call; fails if it can't tell.
   */
  @Override
  public CompletableFuture<Void> refresh() {
    CompletableFuture<Void> result = new CompletableFuture<>();
    if (!isLoaded || isReadOverdue()) {
      result.completeExceptionally(
          new StateStoreException(
              StateStoreException.Kind.NOT_EXECUTED, "the state service is silent"));
      return result;
    }
    waiting.add(result);
    scheduleRead();
    return result;
  }

  /** Whether a reading has been under way for so long that no other is begun. */
  @Override
  public boolean isReadOverdue() {
    return readingSince != null && loop.now().minus(readingSince).compareTo(slow) > 0;
  }

  private void scheduleRead() {
    if (readingSince != null || readTimer != null || waiting.isEmpty()) {
      return;
    }
    Duration wait = lastReading.plus(refreshGap).minus(loop.now());
    if (wait.isNegative() || wait.isZero()) {
      read();
    } else {
      readTimer = loop.schedule(wait, this::readNow);
    }
  }

  private void readNow() {
    readTimer = null;
    read();
  }

  private void read() {
    if (!rateLimiter.tryAcquireRead()) {
      readTimer = loop.schedule(refreshGap, this::readNow);
      return;
    }
    List<CompletableFuture<Void>> batch = waiting;
    waiting = new ArrayList<>();
    Duration sent = loop.now();
    long after = revision;
    int before = generation;
    LastChange expected = lastChange;
    readingSince = sent;
    lastReading = sent;
    client
        .readChanges(
            Records.PREFIX, expected == null ? after : expected.readFrom(after), Duration.ZERO)
        .whenComplete(
            (changes, failure) -> {
              if (before != generation) {
                batch.forEach(item -> item.completeExceptionally(overtaken()));
                return;
              }
              readingSince = null;
              if (failure == null) {
                taken(changes, expected, sent, batch);
              } else {
                // First of all, so that whoever is told now sees a copy too old as not loaded.
                failed(failure, after);
                batch.forEach(item -> item.completeExceptionally(failure));
                failWaiting("the state service is silent");
              }
            });
  }

  private void taken(
      StateStoreProtocol.WatchResult changes,
      LastChange expected,
      Duration sent,
      List<CompletableFuture<Void>> batch) {
    int before = generation;
    if (expected != null && !expected.isIn(changes)) {
      enableRollbackDetection.reportLoss(RollbackDetector.Loss.CHANGE_MISSING, expected.toString());
    } else {
      apply(changes);
    }
    if (before != generation) {
      batch.forEach(item -> item.completeExceptionally(overtaken()));
      return;
    }
    confirm(sent);
    batch.forEach(item -> item.complete(null));
    scheduleRead();
  }

  private static StateStoreException overtaken() {
    return new StateStoreException(
        StateStoreException.Kind.NOT_EXECUTED, "the records are not to be relied on");
  }

  private void failWaiting(String why) {
    List<CompletableFuture<Void>> batch = waiting;
    waiting = new ArrayList<>();
    StateStoreException failure =
        new StateStoreException(StateStoreException.Kind.NOT_EXECUTED, why);
    batch.forEach(item -> item.completeExceptionally(failure));
  }

  /** A reading may return after a reload that was begun later, which does not make it newer. */
  private void confirm(Duration sent) {
    if (lastConfirmedAt == null || sent.compareTo(lastConfirmedAt) > 0) {
      lastConfirmedAt = sent;
    }
  }

  /** {@code after} is the revision whose later changes were asked for. */
  private void failed(Throwable failure, long after) {
    StateStoreException.Kind kind = StateStoreException.kindOf(failure);
    if (kind == StateStoreException.Kind.GONE) {
      // An answer from before a reload tells of a gap that is closed. Another reload would refuse
      // all users for its time.
      if (lastChange != null && lastChange.version() < revision) {
        // Nothing that still stands was put for as long as the service remembers.
        lastChange = null;
      } else if (after == revision) {
        LOG.info("the history after revision {} is gone, reading all keys again", revision);
        load(-1);
      }
    } else if (kind == StateStoreException.Kind.RATE_LIMITED) {
      rateLimiter.drain();
    }
  }

  private void addListener() {
    watchTimer = null;
    if (!running || loader != null) {
      return;
    }
    rateLimiter.forceAcquire(0);
    long after = revision;
    int before = generation;
    client
        .readChanges(Records.PREFIX, after, WATCH)
        .whenComplete(
            (changes, failure) -> {
              if (!running || loader != null || before != generation) {
                return;
              }
              if (failure == null) {
                apply(changes);
              } else {
                failed(failure, after);
              }
              if (loader == null && watchTimer == null && before == generation) {
                watchTimer = loop.schedule(failure == null ? WATCH_GAP : RETRY, this::addListener);
              }
            });
  }

  /**
   * Applies what is new of a batch. Batches may overlap, since the watch and readings are apart.
   */
  private void apply(StateStoreProtocol.WatchResult changes) {
    int before = generation;
    boolean changed = false;
    for (StateStoreProtocol.Event event : changes.events()) {
      if (event.version() > revision) {
        apply(event);
        if (before != generation) {
          return;
        }
        changed = true;
      }
    }
    revision = Math.max(revision, changes.revision());
    if (changed) {
      listeners.forEach(Runnable::run);
    }
  }

  private void apply(StateStoreProtocol.Event event) {
    if (pictures == null) {
      if (event.key().equals(Incarnation.KEY) && isRebuilt(event)) {
        refuseRebuilt();
      } else {
        index.set(event);
      }
      return;
    }
    lastChange = new LastChange(event);
    if (event.key().equals(Incarnation.KEY)) {
      if (event.version() != client.keySpace().incarnationVersion()) {
        enableRollbackDetection.onIncarnationChanged();
      }
      return;
    }
    String key = client.keySpace().toLogical(event.key());
    if (key != null) {
      if (Records.isImmutable(key)) {
        permanent.put(key, event.version());
      }
      index.set(new StateStoreProtocol.Event(key, event.value(), event.version()));
    }
  }

  private void load(long since) {
    if (loader != null || !running) {
      return;
    }
    isLoaded = false;
    failWaiting("reading all keys");
    loader =
        new ReplicaLoader(
            loop,
            client,
            rateLimiter,
            () -> revision,
            since,
            all -> {
              loader = null;
              if (pictures == null) {
                loadedPlainly(all);
              } else {
                loadedIncarnation(all);
              }
            });
    loader.start();
  }

  private void loadedPlainly(ReplicaLoader.Loaded all) {
    StateStoreProtocol.Event identity = all.found().get(Incarnation.KEY);
    if (identity != null && isRebuilt(identity)) {
      refuseRebuilt();
    } else {
      isLoaded(all, List.of(), all.found().values());
    }
  }

  /**
   * Whether the records are elsewhere now than where a node that looks for no losses reads them.
   */
  private static boolean isRebuilt(StateStoreProtocol.Event identity) {
    return identity.value() != null && Incarnation.decode(identity.value()).number() > 0;
  }

  /**
   * A node that looks for no losses must not serve what was rebuilt: it would read and change the
   * records of an incarnation that is over.
   */
  private void refuseRebuilt() {
    LOG.error("the records were rebuilt after a loss; this node needs recovery switched on");
    suspend();
    watchTimer = loop.schedule(WATCH, () -> load(-1));
  }

  /** Takes over what was read, unless it is not what the incarnation's record says. */
  private void loadedIncarnation(ReplicaLoader.Loaded all) {
    IncarnationRecords read = IncarnationRecords.parse(all.found().values(), client.keySpace());
    if (read.superseded()) {
      enableRollbackDetection.onIncarnationChanged();
      return;
    }
    String missing = read.firstMissing(permanent);
    if (missing != null) {
      enableRollbackDetection.reportLoss(RollbackDetector.Loss.RECORDS_GONE, missing);
      return;
    }
    if (!read.bundlesMatch()) {
      enableRollbackDetection.reportLoss(
          RollbackDetector.Loss.BUNDLES_DAMAGED, client.keySpace().prefix());
      return;
    }
    Collection<RecordsSnapshot.JobSnapshot> rebuilt;
    try {
      rebuilt = read.rebuiltJobs();
    } catch (MalformedMessageException e) {
      enableRollbackDetection.reportLoss(RollbackDetector.Loss.BUNDLES_DAMAGED, e.getMessage());
      return;
    }
    permanent.clear();
    permanent.putAll(read.permanent());
    lastChange = read.lastChange();
    isLoaded(all, rebuilt, read.records());
  }

  private void isLoaded(
      ReplicaLoader.Loaded all,
      Collection<RecordsSnapshot.JobSnapshot> rebuilt,
      Collection<StateStoreProtocol.Event> records) {
    index.replaceAll(rebuilt, records);
    revision = all.revision();
    confirm(all.sent());
    isLoaded = true;
    entered = pictures != null;
    LOG.info("read {} keys up to revision {}", all.found().size(), revision);
    onFirstLoaded.run();
    onFirstLoaded = () -> {};
    enableRollbackDetection.onRecordsLoaded();
    listeners.forEach(Runnable::run);
    addListener();
  }

  private static void cancel(EventLoop.Timer timer) {
    if (timer != null) {
      timer.cancel();
    }
  }
}
