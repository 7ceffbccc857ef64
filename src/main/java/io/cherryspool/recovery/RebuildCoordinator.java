package io.cherryspool.recovery;

import io.cherryspool.lifecycle.EventLoop;
import io.cherryspool.store.Incarnation;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * Starts the rebuilds of this node, one at a time, from the records that the node retains. Confined
 * to the event loop.
 */
final class RebuildCoordinator {
  private final EventLoop loop;
  private final RecoveryStore store;
  private final RandomGenerator random;
  private final RecoveryTimings timings;
  private final ClusterNode node;
  private final RecoveryState state;
  private final Contributions contributions;
  private final RebuildElection election;
  private Optional<Rebuilder> rebuilder = Optional.empty();

  RebuildCoordinator(
      EventLoop loop,
      RecoveryStore store,
      RandomGenerator random,
      RecoveryTimings timings,
      ClusterNode node,
      RecoveryState state,
      Contributions contributions) {
    this.loop = loop;
    this.store = store;
    this.random = random;
    this.timings = timings;
    this.node = node;
    this.state = state;
    this.contributions = contributions;
    this.election = new RebuildElection(loop, timings, node, state);
  }

  /** Stops a rebuild that is in progress. */
  void stop() {
    rebuilder.ifPresent(Rebuilder::stop);
  }

  /**
   * Starts a rebuild if the election decides that this node should rebuild now.
   *
   * @param record the identity record in the state store, empty if there is none
   * @param version the version of the identity record, 0 if there is none
   * @param onEnded called once when the rebuild has finished or was superseded
   */
  void rebuildIfElected(Optional<Incarnation> record, long version, Runnable onEnded) {
    if (election.shouldRebuild(record)) {
      rebuild(record, version, onEnded);
    }
  }

  /**
   * Starts a rebuild without asking the election. The parameters are those of {@link
   * #rebuildIfElected}.
   */
  void rebuild(Optional<Incarnation> record, long version, Runnable onEnded) {
    Incarnation next = nextIncarnation(record);
    state.beginRebuild();
    Rebuilder.RebuildInput input =
        new Rebuilder.RebuildInput(
            next,
            version,
            state.lostIncarnation(),
            record.filter(found -> !state.isLost(found)),
            state.retainedSnapshot(),
            contributions.recentWrites(),
            Math.max(node.highestKnownTerm(), state.retainedSnapshot().term()));
    Rebuilder started =
        new Rebuilder(
            loop,
            store,
            timings,
            input,
            () -> haveAllContributed(next.number()),
            isFinished -> end(isFinished, onEnded));
    rebuilder = Optional.of(started);
    started.start();
  }

  private Incarnation nextIncarnation(Optional<Incarnation> record) {
    long number = Math.max(state.retainedSnapshot().position().incarnationNumber(), 0);
    boolean hasOtherLeader = false;
    for (Peer peer : node.peers()) {
      RetainedRecords retained = peer.retainedRecords();
      number = Math.max(number, retained.position().incarnationNumber());
      hasOtherLeader |= retained.wasSoleLeader();
    }
    number = Math.max(number, record.map(Incarnation::number).orElse(0L));
    String cluster = record.map(Incarnation::cluster).orElse(state.retainedSnapshot().cluster());
    return Incarnation.newRebuild(
        cluster.isEmpty() ? nonce() : cluster,
        number + 1,
        nonce(),
        node.name(),
        state.retainedSnapshot().position(),
        // If two nodes claim to have been the sole leader, one of them led after the loss and does
        // not know the starts before it.
        state.wasSoleLeader() && !hasOtherLeader);
  }

  private String nonce() {
    return Long.toHexString(random.nextLong());
  }

  /**
   * Whether every other node that reaches the state store has contributed its last writes to this
   * rebuild.
   */
  private boolean haveAllContributed(long incarnationNumber) {
    for (Peer peer : node.peers()) {
      if (peer.isStateStoreReachable()
          && peer.retainedRecords().contributedRebuild() != incarnationNumber) {
        return false;
      }
    }
    return true;
  }

  private void end(boolean isFinished, Runnable onEnded) {
    rebuilder = Optional.empty();
    state.endRebuild(isFinished);
    onEnded.run();
  }
}
