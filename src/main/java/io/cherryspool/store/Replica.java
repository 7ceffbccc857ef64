package io.cherryspool.store;

import com.fasterxml.jackson.databind.JsonNode;
import io.cherryspool.lifecycle.EventLoop;
import io.cherryspool.lifecycle.Lifecycle;
import io.cherryspool.model.MachineType;
import io.cherryspool.model.Shard;
import io.cherryspool.wire.CloudWire;
import io.cherryspool.wire.Json;
import io.cherryspool.wire.StateWire;
import io.cherryspool.wire.WireException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
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
public final class Replica implements Lifecycle {
  private static final Logger LOG = LoggerFactory.getLogger(Replica.class);
  private static final Duration WATCH = Duration.ofSeconds(10);
  private static final Duration RETRY = Duration.ofMillis(300);

  /** A watch that returned is opened again after this, so that a busy time costs few requests. */
  private static final Duration WATCH_GAP = Duration.ofMillis(100);

  private final EventLoop loop;
  private final StateClient client;
  private final RateLimiter rateLimiter;
  private final Duration refreshGap;
  private final Duration slow;
  private final List<Runnable> listeners = new ArrayList<>();
  private final List<Watcher> watchers = new ArrayList<>();
  private Runnable onLoaded = () -> {};

  private final Map<String, JobEntry> jobs = new HashMap<>();
  private final Map<String, JobEntry> active = new HashMap<>();
  private long term;
  private long termVersion;
  private Records.Leader leader;
  private Records.Successor successor;
  private List<MachineType> catalog;
  private long catalogVersion;

  private boolean running;
  private boolean loaded;
  private boolean loading;
  private long revision;
  private Duration confirmed;
  private List<CompletableFuture<Void>> waiting = new ArrayList<>();
  private Duration readingSince;
  private Duration lastReading;
  private EventLoop.Timer readTimer;
  private EventLoop.Timer watchTimer;

  public Replica(
      EventLoop loop,
      StateClient client,
      RateLimiter rateLimiter,
      Duration refreshGap,
      Duration slow) {
    this.loop = loop;
    this.client = client;
    this.rateLimiter = rateLimiter;
    this.refreshGap = refreshGap;
    this.slow = slow;
    this.lastReading = loop.now().minus(refreshGap);
  }

  /**
   * Told of each change of the jobs' records as it is applied, so that an index of them costs what
   * changed and not what there is.
   */
  public interface Watcher {
    /** A progress record changed; a record that is gone is an empty shard. */
    void progressed(JobEntry entry, Shard before, Shard after);

    /** A job was accepted or has ended. */
    void changed(JobEntry entry);

    /** All was read anew; every entry is another object. */
    void reloaded();
  }

  public void watch(Watcher watcher) {
    watchers.add(watcher);
  }

  public void unwatch(Watcher watcher) {
    watchers.remove(watcher);
  }

  /** Called once all keys have first been read. */
  public void onLoaded(Runnable listener) {
    onLoaded = listener;
  }

  /** Called after each batch of changes. */
  public void onChange(Runnable listener) {
    listeners.add(listener);
  }

  @Override
  public void start() {
    running = true;
    load();
  }

  @Override
  public void stop() {
    running = false;
    cancel(readTimer);
    cancel(watchTimer);
    failWaiting("stopped");
  }

  public boolean loaded() {
    return loaded;
  }

  /** When the last reading that succeeded was sent; null before the first. */
  public Duration confirmed() {
    return confirmed;
  }

  /** The jobs with anything left to do: not ended, or with progress records still kept. */
  public Collection<JobEntry> active() {
    return Collections.unmodifiableCollection(active.values());
  }

  /** All jobs ever accepted. */
  public Collection<JobEntry> jobs() {
    return Collections.unmodifiableCollection(jobs.values());
  }

  /** How many jobs were ever accepted. */
  public int jobCount() {
    return jobs.size();
  }

  /** The job, or null. */
  public JobEntry job(String id) {
    return jobs.get(id);
  }

  public long term() {
    return term;
  }

  public long termVersion() {
    return termVersion;
  }

  /** Who leads, or null. */
  public Records.Leader leader() {
    return leader;
  }

  /** Whom the last leader of this term made way for; null if it did not. */
  public Records.Successor successor() {
    return successor != null && successor.term() == term ? successor : null;
  }

  /** The machine types as some leader last wrote them, or null. */
  public List<MachineType> catalog() {
    return catalog;
  }

  public long catalogVersion() {
    return catalogVersion;
  }

  /**
   * Completes once the copy holds everything committed before this call; fails if it can't tell.
   */
  public CompletableFuture<Void> refresh() {
    CompletableFuture<Void> result = new CompletableFuture<>();
    Duration now = loop.now();
    boolean stuck = readingSince != null && now.minus(readingSince).compareTo(slow) > 0;
    if (!loaded || stuck) {
      result.completeExceptionally(
          new StateException(StateException.Kind.REFUSED, "the state service is silent"));
      return result;
    }
    waiting.add(result);
    scheduleRead();
    return result;
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
    if (!rateLimiter.takeRead()) {
      readTimer = loop.schedule(refreshGap, this::readNow);
      return;
    }
    List<CompletableFuture<Void>> batch = waiting;
    waiting = new ArrayList<>();
    Duration sent = loop.now();
    long after = revision;
    readingSince = sent;
    lastReading = sent;
    client
        .follow(Records.PREFIX, after, Duration.ZERO)
        .whenComplete(
            (changes, failure) -> {
              readingSince = null;
              if (failure == null) {
                confirm(sent);
                apply(changes);
                batch.forEach(item -> item.complete(null));
                scheduleRead();
              } else {
                // First of all, so that whoever is told now sees a copy too old as not loaded.
                failed(failure, after);
                batch.forEach(item -> item.completeExceptionally(failure));
                failWaiting("the state service is silent");
              }
            });
  }

  private void failWaiting(String why) {
    List<CompletableFuture<Void>> batch = waiting;
    waiting = new ArrayList<>();
    StateException failure = new StateException(StateException.Kind.REFUSED, why);
    batch.forEach(item -> item.completeExceptionally(failure));
  }

  /** A reading may return after a reload that was begun later, which does not make it newer. */
  private void confirm(Duration sent) {
    if (confirmed == null || sent.compareTo(confirmed) > 0) {
      confirmed = sent;
    }
  }

  /** {@code after} is the revision whose later changes were asked for. */
  private void failed(Throwable failure, long after) {
    StateException.Kind kind = StateException.kindOf(failure);
    if (kind == StateException.Kind.GONE) {
      // An answer from before a reload tells of a gap that is closed. Another reload would refuse
      // all users for its time.
      if (after == revision) {
        LOG.info("the history after revision {} is gone, reading all keys again", revision);
        load();
      }
    } else if (kind == StateException.Kind.BUSY) {
      rateLimiter.drain();
    }
  }

  private void watch() {
    watchTimer = null;
    if (!running || loading) {
      return;
    }
    rateLimiter.force(0);
    long after = revision;
    client
        .follow(Records.PREFIX, after, WATCH)
        .whenComplete(
            (changes, failure) -> {
              if (!running || loading) {
                return;
              }
              if (failure == null) {
                apply(changes);
              } else {
                failed(failure, after);
              }
              if (!loading && watchTimer == null) {
                watchTimer = loop.schedule(failure == null ? WATCH_GAP : RETRY, this::watch);
              }
            });
  }

  /**
   * Applies what is new of a batch. Batches may overlap, since the watch and readings are apart.
   */
  private void apply(StateWire.Changes changes) {
    boolean changed = false;
    for (StateWire.Event event : changes.events()) {
      if (event.version() > revision) {
        set(event);
        changed = true;
      }
    }
    revision = Math.max(revision, changes.revision());
    if (changed) {
      listeners.forEach(Runnable::run);
    }
  }

  /**
   * Reads all keys, then the changes since the first page. Pages are of different moments, so the
   * copy is whole only after that catching up.
   */
  private void load() {
    if (loading || !running) {
      return;
    }
    loading = true;
    loaded = false;
    failWaiting("reading all keys");
    loadPage(null, -1, new HashMap<>());
  }

  private void loadPage(String after, long from, Map<String, StateWire.Event> found) {
    if (!running) {
      return;
    }
    rateLimiter.force(0);
    client
        .list(Records.PREFIX, after)
        .whenComplete(
            (page, failure) -> {
              if (failure != null) {
                loop.schedule(RETRY, () -> loadPage(after, from, found));
                return;
              }
              long start = from < 0 ? page.revision() : from;
              page.items().forEach(item -> found.put(item.key(), item));
              if (page.more() && !page.items().isEmpty()) {
                loadPage(page.items().get(page.items().size() - 1).key(), start, found);
              } else {
                catchUp(start, found);
              }
            });
  }

  private void catchUp(long from, Map<String, StateWire.Event> found) {
    if (!running) {
      return;
    }
    rateLimiter.force(0);
    Duration sent = loop.now();
    client
        .follow(Records.PREFIX, from, Duration.ZERO)
        .whenComplete(
            (changes, failure) -> {
              if (failure != null) {
                boolean again = StateException.kindOf(failure) == StateException.Kind.GONE;
                loop.schedule(
                    RETRY,
                    again ? () -> loadPage(null, -1, new HashMap<>()) : () -> catchUp(from, found));
                return;
              }
              for (StateWire.Event event : changes.events()) {
                StateWire.Event known = found.get(event.key());
                if (known == null || known.version() <= event.version()) {
                  found.put(event.key(), event);
                }
              }
              if (changes.revision() < revision) {
                // A reading from before was carried out later than this one and has been answered
                // from the copy. What users were told must not be taken back.
                catchUp(changes.revision(), found);
                return;
              }
              replaceAll(found);
              revision = changes.revision();
              confirm(sent);
              loading = false;
              loaded = true;
              LOG.info("read {} keys up to revision {}", found.size(), revision);
              onLoaded.run();
              onLoaded = () -> {};
              listeners.forEach(Runnable::run);
              watch();
            });
  }

  private void replaceAll(Map<String, StateWire.Event> found) {
    jobs.clear();
    active.clear();
    term = 0;
    termVersion = 0;
    leader = null;
    successor = null;
    catalog = null;
    catalogVersion = 0;
    Set<String> later = new HashSet<>();
    found.forEach(
        (key, event) -> {
          if (key.startsWith(Records.OUTCOMES) || key.startsWith(Records.PROGRESS)) {
            later.add(key);
          } else {
            set(event);
          }
        });
    later.forEach(key -> set(found.get(key)));
    List.copyOf(watchers).forEach(Watcher::reloaded);
  }

  private void set(StateWire.Event event) {
    String key = event.key();
    JsonNode value = event.value();
    if (key.startsWith(Records.PROGRESS)) {
      setProgress(key.substring(Records.PROGRESS.length()), value, event.version());
    } else if (key.startsWith(Records.JOBS)) {
      setJob(key.substring(Records.JOBS.length()), value);
    } else if (key.startsWith(Records.OUTCOMES)) {
      JobEntry entry = jobs.get(key.substring(Records.OUTCOMES.length()));
      if (entry != null && value != null) {
        entry.setOutcome(Records.readOutcome(value));
        settle(entry);
        watchers.forEach(watcher -> watcher.changed(entry));
      }
    } else if (key.equals(Records.TERM)) {
      term = value == null ? 0 : Records.readTerm(value);
      termVersion = value == null ? 0 : event.version();
    } else if (key.equals(Records.LEADER)) {
      leader = value == null ? null : Records.readLeader(value);
    } else if (key.equals(Records.SUCCESSOR)) {
      successor = value == null ? null : Records.readSuccessor(value);
    } else if (key.equals(Records.CATALOG) && value != null) {
      setCatalog(value, event.version());
    }
  }

  private void setJob(String id, JsonNode value) {
    if (value == null) {
      return;
    }
    try {
      JobEntry entry = new JobEntry(Records.readJob(value), Records.readTasksPerShard(value));
      jobs.put(id, entry);
      active.put(id, entry);
      watchers.forEach(watcher -> watcher.changed(entry));
    } catch (WireException e) {
      LOG.error("the record of job {} is unreadable: {}", id, e.getMessage());
    }
  }

  private void setProgress(String rest, JsonNode value, long version) {
    int slash = rest.lastIndexOf('/');
    JobEntry entry = slash < 0 ? null : jobs.get(rest.substring(0, slash));
    if (entry != null) {
      int index = Integer.parseInt(rest.substring(slash + 1));
      JobEntry.Versioned record =
          value == null ? null : new JobEntry.Versioned(Records.readShard(value), version);
      Shard before = entry.setShard(index, record);
      settle(entry);
      Shard after = record == null ? Shard.EMPTY : record.shard();
      watchers.forEach(watcher -> watcher.progressed(entry, before, after));
    }
  }

  private void settle(JobEntry entry) {
    if (entry.outcome() != null && entry.shards().isEmpty()) {
      active.remove(entry.job().id());
    } else {
      active.put(entry.job().id(), entry);
    }
  }

  private void setCatalog(JsonNode value, long version) {
    try {
      catalog = CloudWire.parseCatalog(value);
      catalogVersion = version;
    } catch (WireException e) {
      LOG.error(
          "the record of the catalog is unreadable: {} {}", e.getMessage(), Json.bytes(value));
    }
  }

  private static void cancel(EventLoop.Timer timer) {
    if (timer != null) {
      timer.cancel();
    }
  }
}
