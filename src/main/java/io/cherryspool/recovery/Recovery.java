package io.cherryspool.recovery;

import io.cherryspool.lifecycle.EventLoop;
import io.cherryspool.lifecycle.Lifecycle;
import io.cherryspool.store.Incarnation;
import io.cherryspool.store.RateLimiter;
import io.cherryspool.store.Records;
import io.cherryspool.store.RecordsSnapshot;
import io.cherryspool.store.Replica;
import io.cherryspool.store.RollbackDetector;
import io.cherryspool.store.StateStoreClient;
import io.cherryspool.wire.StateStoreProtocol;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * This node's part in noticing that the state service has lost data, and in rebuilding the records.
 * While it serves, it holds each answer against what is known; once history is lost, it stops the
 * replica, and either rebuilds or waits for the node that remembers most.
 */
public final class Recovery implements RollbackDetector, Lifecycle {
  private static final Logger LOG = LoggerFactory.getLogger(Recovery.class);
  private static final Duration TICK = Duration.ofMillis(250);

  private final EventLoop loop;
  private final StateStoreClient client;
  private final RateLimiter rateLimiter;
  private final Replica replica;
  private final RandomGenerator random;
  private final RecoveryTimings timings;
  private final ClusterNode node;
  private final Contributions contributions;
  private final RecoveryStatistics statistics = new RecoveryStatistics();

  private RetainedRecords.Phase phase = RetainedRecords.Phase.STARTING;
  private Duration since;
  private long floor;
  private RecordsSnapshot retainedRecords;

  /** The incarnation whose loss this node has seen, null if it has seen none. */
  private Incarnation lost;

  private boolean ledSurely;
  private boolean reading;
  private Duration lastAnsweredRequestSentAt;

  /** The rebuild of another node that was last seen, and since when. */
  private String seenNonce = "";

  private Duration seenSince = Duration.ZERO;
  private Rebuilder rebuilder;
  private EventLoop.Timer timer;

  /**
   * @param snapshot what a snapshot of an earlier life of this node remembers, or {@link
   *     RecordsSnapshot#EMPTY}
   */
  public Recovery(
      EventLoop loop,
      StateStoreClient client,
      RateLimiter rateLimiter,
      Replica replica,
      RandomGenerator random,
      RecoveryTimings timings,
      ClusterNode node,
      RecordsSnapshot snapshot) {
    this.loop = loop;
    this.client = client;
    this.rateLimiter = rateLimiter;
    this.replica = replica;
    this.random = random;
    this.timings = timings;
    this.node = node;
    this.retainedRecords = snapshot;
    this.since = loop.now();
    this.contributions = new Contributions(loop, client, rateLimiter, replica, timings);
  }

  @Override
  public void start() {
    replica.enableRollbackDetection(this);
    since = loop.now();
    tick();
  }

  @Override
  public void stop() {
    if (timer != null) {
      timer.cancel();
    }
    if (rebuilder != null) {
      rebuilder.stop();
    }
  }

  /** What this node tells the others with its heartbeats. */
  public RetainedRecords retainedRecords() {
    if (phase == RetainedRecords.Phase.SERVING) {
      Incarnation present = client.keySpace().incarnation();
      Incarnation.HistoryPosition reached =
          new Incarnation.HistoryPosition(present.number(), replica.revision());
      return new RetainedRecords(
          phase, present.nonce(), reached, false, contributions.contributedRebuild());
    }
    return new RetainedRecords(
        phase,
        retainedRecords.nonce(),
        retainedRecords.position(),
        ledSurely,
        contributions.contributedRebuild());
  }

  /** Whether the records may be relied on. */
  public boolean isServing() {
    return phase == RetainedRecords.Phase.SERVING;
  }

  /** When the last request that succeeded while not serving was sent; null if none was. */
  public Duration lastAnsweredRequestSentAt() {
    return lastAnsweredRequestSentAt;
  }

  /** What has happened since the node started. */
  public RecoveryStatistics statistics() {
    return statistics;
  }

  /**
   * A worker or another node has shown a term. Terms are recorded before anybody hears of them, so
   * that one which a later reading does not show was lost.
   */
  public void observeTerm(long term) {
    if (phase != RetainedRecords.Phase.SERVING
        || term <= replica.term()
        || !replica.isReconciled()) {
      return;
    }
    replica
        .refresh()
        .whenComplete(
            (nothing, failure) -> {
              if (failure == null
                  && isServing()
                  && replica.term() < term
                  && replica.isReconciled()) {
                reportLoss(Loss.TERM_MISSING, "term " + term + " after term " + replica.term());
              }
            });
  }

  @Override
  public long minimumRevision() {
    return phase == RetainedRecords.Phase.SERVING ? floor : 0;
  }

  @Override
  public boolean verifyRevision(long atSending, long revision) {
    if (revision < atSending) {
      reportLoss(Loss.REVISION_WENT_BACK, "revision " + revision + " after " + atSending);
      return false;
    }
    if (phase == RetainedRecords.Phase.SERVING) {
      floor = Math.max(floor, revision);
    }
    return true;
  }

  @Override
  public void onIncarnationChanged() {
    if (phase == RetainedRecords.Phase.SERVING) {
      LOG.info("the records are of another incarnation now");
      remember();
    }
    if (phase == RetainedRecords.Phase.SERVING || phase == RetainedRecords.Phase.STARTING) {
      hold();
    }
  }

  @Override
  public void reportLoss(Loss loss, String detail) {
    Incarnation present = client.keySpace().incarnation();
    boolean known = lost != null && present != null && sameBuild(lost, present);
    if (phase == RetainedRecords.Phase.REBUILDING
        || phase == RetainedRecords.Phase.HOLDING && known) {
      return;
    }
    statistics.lost(loss);
    LOG.warn("the state service has lost data ({}): {}; holding until it is rebuilt", loss, detail);
    // One that leads what was rebuilt from part of it does not know of every start either.
    ledSurely = node.isSoleLeader() && !loss.showsAnotherLeader() && replica.isFullyReconciled();
    lost = present;
    remember();
    hold();
  }

  private void remember() {
    // A snapshot may hold what the records lack although they reach further: both are true.
    retainedRecords = SnapshotMerge.merge(retainedRecords, replica.snapshot());
  }

  private void hold() {
    phase = RetainedRecords.Phase.HOLDING;
    since = loop.now();
    replica.suspend();
    node.onServingChanged();
  }

  @Override
  public void onCommitApplied(List<StateStoreProtocol.Change> changes, long revision) {
    contributions.recordApplied(changes, revision);
  }

  @Override
  public void onRecordsLoaded() {
    if (phase == RetainedRecords.Phase.SERVING) {
      return;
    }
    Incarnation present = client.keySpace().incarnation();
    boolean same =
        retainedRecords.position().incarnationNumber() == present.number()
            && retainedRecords.nonce().equals(present.nonce());
    if (same && misses(present)) {
      return;
    }
    phase = RetainedRecords.Phase.SERVING;
    floor = replica.revision();
    // Before anybody is answered: the others may know that these records are too old.
    raiseFloor();
    lost = null;
    ledSurely = false;
    statistics.serving(loop.now().minus(since));
    LOG.info("serving incarnation {} from revision {}", present.number(), floor);
    int added = contributions.addMissingRecords(retainedRecords, this::isServing);
    retainedRecords = RecordsSnapshot.EMPTY;
    statistics.addedRecords(added);
    node.onServingChanged();
  }

  /** Whether the records lack what this node remembers of the same incarnation. */
  private boolean misses(Incarnation present) {
    if (replica.revision() < retainedRecords.position().revision()) {
      reportLoss(
          Loss.REVISION_WENT_BACK,
          replica.revision() + " after " + retainedRecords.position().revision());
      return true;
    }
    for (String id : retainedRecords.jobs().keySet()) {
      if (replica.job(id) == null) {
        reportLoss(Loss.RECORDS_GONE, "job " + id + " of incarnation " + present.number());
        return true;
      }
    }
    return false;
  }

  private void tick() {
    timer = loop.schedule(TICK, this::tick);
    raiseFloor();
    boolean idle =
        phase != RetainedRecords.Phase.SERVING && phase != RetainedRecords.Phase.REBUILDING;
    if (idle && !reading && !replica.isLoading()) {
      readRecord();
    }
  }

  /** What another node has seen of the same history, this one must see too. */
  private void raiseFloor() {
    if (phase != RetainedRecords.Phase.SERVING) {
      return;
    }
    Incarnation present = client.keySpace().incarnation();
    for (Peer peer : node.peers()) {
      if (peer.retainedRecords().belongsTo(present)) {
        floor = Math.max(floor, peer.retainedRecords().position().revision());
      }
    }
  }

  private void readRecord() {
    reading = true;
    Duration sent = loop.now();
    rateLimiter.forceAcquire(0);
    client
        .readIncarnation()
        .whenComplete(
            (found, failure) -> {
              reading = false;
              lastAnsweredRequestSentAt = failure == null ? sent : lastAnsweredRequestSentAt;
              if (failure == null && !isServing() && phase != RetainedRecords.Phase.REBUILDING) {
                decide(found);
              }
            });
  }

  private void decide(StateStoreClient.IncarnationReading found) {
    Incarnation record = found.incarnation();
    if (record == null) {
      decideWithoutRecord();
      return;
    }
    if (!retainedRecords.cluster().isEmpty()
        && !retainedRecords.cluster().equals(record.cluster())) {
      if (!statistics.hasFoundOtherCluster()) {
        LOG.error(
            "the state service holds cluster {}, and this node belongs to {}",
            record.cluster(),
            retainedRecords.cluster());
      }
      statistics.foreignFound();
      return;
    }
    boolean older = record.number() < retainedRecords.position().incarnationNumber();
    boolean same = lost != null && sameBuild(record, lost);
    if (record.phase() == Incarnation.Phase.SERVING && !older && !same) {
      if (heardEnough() && !heldByOthers(record)) {
        replica.enter(record, found.version(), found.revision());
      }
      return;
    }
    if (phase == RetainedRecords.Phase.STARTING) {
      hold();
    }
    if (record.phase() == Incarnation.Phase.REBUILDING) {
      contributions.contribute(record, found.version());
    }
    considerRebuild(record, found.version());
  }

  private static boolean sameBuild(Incarnation one, Incarnation other) {
    return one.number() == other.number() && one.nonce().equals(other.nonce());
  }

  /** Whether another node knows that this incarnation's records are not to be relied on. */
  private boolean heldByOthers(Incarnation record) {
    return node.peers().stream()
        .map(Peer::retainedRecords)
        .anyMatch(
            known ->
                known.belongsTo(record)
                    && (known.phase() == RetainedRecords.Phase.HOLDING
                        || known.phase() == RetainedRecords.Phase.REBUILDING));
  }

  /** A starting node listens to the others first: they may know that the records are too old. */
  private boolean heardEnough() {
    return phase == RetainedRecords.Phase.HOLDING
        || loop.now().minus(since).compareTo(timings.gatheringTime()) > 0
        || node.peers().size() == node.peerCount();
  }

  private void decideWithoutRecord() {
    boolean remembered = retainedRecords.position().incarnationNumber() >= 0;
    for (Peer peer : node.peers()) {
      remembered |= peer.retainedRecords().hasRecords();
    }
    if (remembered) {
      if (phase == RetainedRecords.Phase.STARTING) {
        hold();
      }
      considerRebuild(null, 0);
    } else if (nobodyRemembers()) {
      readForInstallation();
    }
  }

  /**
   * Whether it is known that no node remembers anything. Workers that have served lose their tasks
   * unless somebody leads them soon, so that once all nodes were heard no more time is lost.
   */
  private boolean nobodyRemembers() {
    Duration waited = loop.now().minus(since);
    boolean allHeard = node.peers().size() == node.peerCount();
    return waited.compareTo(timings.maxWait()) > 0
        || waited.compareTo(timings.gatheringTime()) > 0 && allHeard && node.hasWorkerShownToken();
  }

  /**
   * Nobody remembers anything. Records without an identity are those of an installation that did
   * not look for losses before; without any, a worker that has served tells a loss from a first
   * installation.
   */
  private void readForInstallation() {
    reading = true;
    rateLimiter.forceAcquire(0);
    client
        .list(Records.PREFIX, null)
        .whenComplete(
            (page, failure) -> {
              reading = false;
              if (failure != null) {
                return;
              }
              if (page.items().isEmpty() && node.hasWorkerShownToken()) {
                statistics.lost(Loss.INCARNATION_GONE);
                LOG.warn(
                    "the state service is empty, and workers have served: all records are lost");
                hold();
                rebuild(null, 0);
              } else {
                install();
              }
            });
  }

  private void install() {
    Incarnation first = Incarnation.firstInstallation(nonce());
    LOG.info("a first installation: cluster {}", first.cluster());
    reading = true;
    rateLimiter.forceAcquire(1);
    client
        .commitPhysical(
            Map.of(Incarnation.KEY, 0L),
            List.of(new StateStoreProtocol.Change(Incarnation.KEY, first.encode(), 0)))
        .whenComplete((result, failure) -> reading = false);
  }

  private String nonce() {
    return Long.toHexString(random.nextLong());
  }

  /**
   * Rebuilds if this node remembers most of those that are heard of. A node that remembers more and
   * can't reach the service is waited for, but not for good.
   */
  private void considerRebuild(Incarnation record, long version) {
    Duration waited = loop.now().minus(since);
    if (waited.compareTo(timings.gatheringTime()) < 0) {
      return;
    }
    boolean patient = waited.compareTo(timings.maxWait()) < 0;
    boolean remembers = retainedRecords.position().incarnationNumber() >= 0;
    boolean ownBetter =
        record != null
            && record.phase() == Incarnation.Phase.REBUILDING
            && (ledSurely || !record.isComplete())
            && retainedRecords.position().compareTo(record.origin()) > 0;
    if (!ownBetter && record != null && underWay(record)) {
      return;
    }
    // A node that still serves hears of the loss by this one's revision, unless only workers tell
    // it; then all that it has told is in what the service holds, which the rebuild reads.
    boolean unaware = waited.compareTo(timings.gatheringTime().multipliedBy(2)) > 0;
    for (Peer peer : node.peers()) {
      boolean serves = peer.retainedRecords().phase() == RetainedRecords.Phase.SERVING;
      if (better(peer) && (peer.isStateStoreReachable() || patient) && !(serves && unaware)) {
        return;
      }
    }
    if (remembers || !patient) {
      rebuild(record, version);
    }
  }

  /**
   * Whether another node may still be at this rebuild. One that is not heard of gets some time, for
   * the nodes may not reach one another while all reach the service.
   */
  private boolean underWay(Incarnation record) {
    if (record.phase() != Incarnation.Phase.REBUILDING) {
      return false;
    }
    if (!record.nonce().equals(seenNonce)) {
      seenNonce = record.nonce();
      seenSince = loop.now();
    }
    for (Peer peer : node.peers()) {
      if (peer.node().equals(record.rebuilder())) {
        return peer.retainedRecords().phase() == RetainedRecords.Phase.REBUILDING;
      }
    }
    return !record.rebuilder().equals(node.name())
        && loop.now().minus(seenSince).compareTo(timings.gatheringTime().multipliedBy(2)) < 0;
  }

  /**
   * The one that led knows of every start; what users were told beyond its memory the others add.
   * Of the rest, the one whose memory reaches furthest.
   */
  private boolean better(Peer peer) {
    if (peer.retainedRecords().wasSoleLeader() != ledSurely) {
      return peer.retainedRecords().wasSoleLeader();
    }
    int order = peer.retainedRecords().position().compareTo(retainedRecords.position());
    return order > 0 || order == 0 && peer.node().compareTo(node.name()) < 0;
  }

  private void rebuild(Incarnation record, long version) {
    long number = retainedRecords.position().incarnationNumber();
    for (Peer peer : node.peers()) {
      number = Math.max(number, peer.retainedRecords().position().incarnationNumber());
    }
    String cluster = retainedRecords.cluster();
    Incarnation interrupted = null;
    if (record != null) {
      number = Math.max(number, record.number());
      cluster = record.cluster();
      interrupted = lost != null && sameBuild(record, lost) ? null : record;
    }
    // Of two that led, one did so in what came after the loss, and knows of no start before it.
    boolean onlyLeader =
        ledSurely
            && node.peers().stream().noneMatch(peer -> peer.retainedRecords().wasSoleLeader());
    phase = RetainedRecords.Phase.REBUILDING;
    statistics.rebuilding();
    Incarnation next =
        Incarnation.newRebuild(
            cluster.isEmpty() ? nonce() : cluster,
            Math.max(number, 0) + 1,
            nonce(),
            node.name(),
            retainedRecords.position(),
            onlyLeader);
    rebuilder =
        new Rebuilder(
            loop,
            client,
            rateLimiter,
            timings,
            new Rebuilder.Plan(
                next,
                version,
                lost,
                interrupted,
                retainedRecords,
                contributions.recentWrites(),
                Math.max(node.highestKnownTerm(), retainedRecords.term())),
            this::allContributed,
            this::rebuildEnded);
    rebuilder.start();
  }

  private boolean allContributed() {
    for (Peer peer : node.peers()) {
      if (peer.isStateStoreReachable()
          && peer.retainedRecords().contributedRebuild() != rebuilder.number()) {
        return false;
      }
    }
    return true;
  }

  private void rebuildEnded(boolean finished) {
    rebuilder = null;
    phase = RetainedRecords.Phase.HOLDING;
    // A better memory may be about; otherwise this node's next attempt need not wait again.
    since = finished ? since : loop.now();
    readRecord();
  }
}
