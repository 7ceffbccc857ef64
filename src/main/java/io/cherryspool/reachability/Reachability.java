package io.cherryspool.reachability;

import io.cherryspool.mesh.LinkState;
import io.cherryspool.mesh.LinkSummary;
import io.cherryspool.mesh.Mesh;
import io.cherryspool.model.Durations;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

/**
 * The links of one node: collects what the node observes of them and what other nodes' heartbeats
 * contain, and determines the verdict. All times are of the node's monotonic clock. Confined to the
 * event loop.
 */
public final class Reachability {
  /** The highest age of a heartbeat that link summaries contain: one day. */
  private static final int MAX_REPORTED_AGE_MILLIS = 86_400_000;

  /** The age in link summaries for a node from which no heartbeat was ever received. */
  private static final int NEVER_RECEIVED_AGE_MILLIS = -1;

  private final String node;
  private final List<String> peers;
  private final ReachabilityTimings timings;
  private final boolean isDampingEnabled;
  private final VerdictRule verdictRule;
  private final MachineEvictionRule machineEvictionRule;
  private final RequestLink stateStoreLink;
  private final RequestLink cloudLink;
  private final ZoneLinks zones;
  private final RedirectedWorkers redirectedWorkers = new RedirectedWorkers();

  /** Whether this node's event loop has run on time. */
  private final LocalHealth loopHealth;

  /** Whether this node's event loop has run on time while the node was able to answer workers. */
  private final LocalHealth leaderHealth;

  private final FlapDamper leadershipLosses;
  private final LeaseLength leaseLength;
  private ReachabilityMatrix matrix = ReachabilityMatrix.EMPTY;
  private FleetReachability fleet = FleetReachability.EMPTY;
  private Verdict verdict = new Verdict.Serve();

  /**
   * Creates the links of a node that has observed nothing yet.
   *
   * @param peers the names of the other nodes
   * @param isDampingEnabled whether flapping makes leases longer and delays candidacies
   * @param verdictRule determines the verdict on the links
   */
  public Reachability(
      String node,
      List<String> peers,
      ReachabilityTimings timings,
      boolean isDampingEnabled,
      VerdictRule verdictRule) {
    this.node = node;
    this.peers = peers;
    this.timings = timings;
    this.isDampingEnabled = isDampingEnabled;
    this.verdictRule = verdictRule;
    this.machineEvictionRule = new MachineEvictionRule(timings);
    this.stateStoreLink = new RequestLink(timings.stateStoreCallTimeout(), timings.flapHalfLife());
    this.cloudLink = new RequestLink(timings.leaderLease(), timings.flapHalfLife());
    this.zones = new ZoneLinks(timings.flapHalfLife());
    Duration maxTickDelay = Durations.divide(timings.peerHeartbeatInterval(), 2);
    this.loopHealth = new LocalHealth(maxTickDelay);
    this.leaderHealth = new LocalHealth(maxTickDelay);
    this.leadershipLosses = new FlapDamper(timings.flapHalfLife());
    this.leaseLength = new LeaseLength(timings.leaderLease(), timings.maxLeaderAuthority());
  }

  /** The link to the state store. */
  public RequestLink stateStoreLink() {
    return stateStoreLink;
  }

  /** The link to the cloud. */
  public RequestLink cloudLink() {
    return cloudLink;
  }

  /** The workers that sent a heartbeat to this node while another node led. */
  public RedirectedWorkers redirectedWorkers() {
    return redirectedWorkers;
  }

  /** The latest heartbeats of the other nodes. */
  public ReachabilityMatrix matrix() {
    return matrix;
  }

  /**
   * Returns the latest heartbeats of the other nodes that count as reachable, because they have
   * sent one recently.
   */
  public List<Mesh.PeerHeartbeat> freshPeerHeartbeats(Duration now) {
    return matrix.freshHeartbeats(timings.peerHeartbeatTimeout(), now);
  }

  /** The rule that decides when a single machine is evicted. */
  public MachineEvictionRule machineEvictionRule() {
    return machineEvictionRule;
  }

  /** Records a heartbeat from another node. */
  public void receivePeerHeartbeat(Mesh.PeerHeartbeat heartbeat, Duration now) {
    matrix = matrix.withHeartbeat(heartbeat, now);
  }

  /**
   * Determines the verdict on the links; called once in each interval of the heartbeats between
   * nodes.
   *
   * @param isLeading whether this node leads
   * @param mayAnswerWorkers whether this node may answer workers
   * @param observedFleet how many of its machines this node reaches
   */
  public Verdict evaluate(
      Duration now, boolean isLeading, boolean mayAnswerWorkers, FleetReachability observedFleet) {
    loopHealth.recordTick(now, timings.peerHeartbeatInterval());
    leaderHealth.recordTick(now, timings.peerHeartbeatInterval());
    if (!mayAnswerWorkers) {
      leaderHealth.reset(now);
    }
    fleet = observedFleet;
    zones.observe(observedFleet, now);
    NodeView.Role role = isLeading ? NodeView.Role.LEADER : NodeView.Role.FOLLOWER;
    verdict = verdictRule.evaluate(view(role, now, Optional.empty()));
    return verdict;
  }

  /** The latest verdict on this node's links. */
  public Verdict verdict() {
    return verdict;
  }

  /** Whether a leader may plan and commit placements, and call the cloud. */
  public boolean mayPlaceTasks() {
    return !(verdict instanceof Verdict.SuspendPlacement) && !isHandingOver();
  }

  /** Whether this node is about to end its term because its workers do not reach it. */
  private boolean isHandingOver() {
    return verdict instanceof Verdict.HandOverLeadership;
  }

  /**
   * Whether the machines of this zone are probably unreachable rather than dead, so that their
   * eviction is suspended.
   */
  public boolean isZoneEvictionSuspended(String zone) {
    return verdict instanceof Verdict.SuspendFleetChanges
        || isHandingOver()
        || (verdict instanceof Verdict.SuspendZoneEviction suspended
            && suspended.zones().contains(zone));
  }

  /** Whether a leader may scale out, and scale in idle machines. */
  public boolean mayChangeFleet() {
    return mayPlaceTasks() && !(verdict instanceof Verdict.SuspendFleetChanges);
  }

  /**
   * Returns how long this node must wait before it runs for election, so that nodes with better
   * links run first.
   */
  public Duration candidacyDelay(Duration now, Optional<NodeView.Handover> handover) {
    Verdict candidateVerdict = verdictRule.evaluate(view(NodeView.Role.CANDIDATE, now, handover));
    return candidateVerdict instanceof Verdict.DelayCandidacy delayed
        ? delayed.delay()
        : Duration.ZERO;
  }

  /** Records that this node no longer leads although its process is still running. */
  public void recordLeadershipLoss(Duration now) {
    leadershipLosses.recordFlap(now);
    verdict = new Verdict.Serve();
    fleet = FleetReachability.EMPTY;
    zones.clear();
  }

  /** The number of times that this node has lost leadership since its start. */
  public long leadershipLosses() {
    return leadershipLosses.flapCount();
  }

  /** Returns the length that this node's lease should have if it leads. */
  public Duration leaseLength(Duration now) {
    return isDampingEnabled
        ? leaseLength.forPenalty(leadershipPenalty(now))
        : timings.leaderLease();
  }

  /**
   * Returns how often leaders of the cluster have recently lost leadership although their processes
   * kept running: the sum of all nodes' penalties, see {@link FlapDamper}.
   */
  public double leadershipPenalty(Duration now) {
    double sum = leadershipLosses.penalty(now);
    for (Mesh.PeerHeartbeat heartbeat : matrix.freshHeartbeats(timings.flapHalfLife(), now)) {
      sum += heartbeat.links().leadershipPenalty() / 10.0;
    }
    return sum;
  }

  /** Whether this node's link to the state store fails too often to be relied on. */
  public boolean isStateStoreLinkFlapping(Duration now) {
    return isDampingEnabled && stateStoreLink.damper().isFlapping(now);
  }

  /** The number of times that zones became unreachable in this term. */
  public long zoneFlapCount() {
    return zones.flapCount();
  }

  private NodeView view(NodeView.Role role, Duration now, Optional<NodeView.Handover> handover) {
    double penalty = isDampingEnabled ? leadershipPenalty(now) : 0;
    return new NodeView(
        node,
        now,
        new NodeView.Leadership(role, leaderHealth.healthyFor(now), penalty, handover),
        new NodeView.StateStoreLink(stateStoreLink.state(now), isStateStoreLinkFlapping(now)),
        new NodeView.Fleet(fleet, zones.unreachableZones(), zones.fleetUnreachableFor(now)),
        matrix);
  }

  /**
   * Returns the summary of this node's links for the other nodes.
   *
   * @param isLeading whether this node leads and may answer workers
   * @param address the address at which this node serves users' requests
   */
  public LinkSummary linkSummary(Duration now, boolean isLeading, String address) {
    boolean wasStalled =
        loopHealth.healthyFor(now).compareTo(timings.workerHeartbeatOverdueAfter()) < 0;
    return new LinkSummary(
        isLeading,
        address,
        stateStoreLink.state(now),
        cloudLink.state(now),
        wasStalled,
        (int) Math.round(10 * leadershipLosses.penalty(now)),
        verdict.describe() + ": " + verdict.reason().text(),
        peerLinks(now),
        zoneLinks(now));
  }

  private List<LinkSummary.PeerLink> peerLinks(Duration now) {
    List<LinkSummary.PeerLink> result = new ArrayList<>();
    for (String peer : peers) {
      Optional<ReachabilityMatrix.ReceivedHeartbeat> received = matrix.latestHeartbeat(peer);
      result.add(
          received.isPresent()
              ? peerLink(peer, now.minus(received.get().receivedAt()))
              : new LinkSummary.PeerLink(peer, LinkState.DOWN, NEVER_RECEIVED_AGE_MILLIS));
    }
    return result;
  }

  private LinkSummary.PeerLink peerLink(String peer, Duration heartbeatAge) {
    int ageMillis = (int) Math.min(heartbeatAge.toMillis(), MAX_REPORTED_AGE_MILLIS);
    return new LinkSummary.PeerLink(peer, peerState(heartbeatAge), ageMillis);
  }

  private LinkState peerState(Duration heartbeatAge) {
    if (heartbeatAge.compareTo(timings.peerHeartbeatTimeout()) < 0) {
      return LinkState.UP;
    }
    return heartbeatAge.compareTo(timings.leaderLease()) < 0 ? LinkState.SUSPECT : LinkState.DOWN;
  }

  private List<LinkSummary.ZoneLink> zoneLinks(Duration now) {
    Map<String, Integer> redirected = redirectedWorkers.countByZone(now);
    Set<String> names = new TreeSet<>(fleet.zones().keySet());
    names.addAll(redirected.keySet());
    List<LinkSummary.ZoneLink> result = new ArrayList<>();
    for (String zone : names) {
      FleetReachability.Zone machines = fleet.zones().get(zone);
      result.add(
          new LinkSummary.ZoneLink(
              zone,
              zones.state(zone),
              machines == null ? 0 : machines.knownMachines(),
              machines == null ? 0 : machines.missingMachines(),
              redirected.getOrDefault(zone, 0)));
    }
    return result;
  }
}
