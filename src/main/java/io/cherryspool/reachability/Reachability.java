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
 * One node's links: what was observed of them, what other nodes' heartbeats tell, and the verdict
 * on them. Times are of the node's monotonic clock. Confined to the event loop.
 */
public final class Reachability {
  /** Ages of heartbeats are shown up to a day. */
  private static final int MAX_REPORTED_AGE_MILLIS = 86_400_000;

  /** Of a node from which no heartbeat was received. */
  private static final int NEVER_RECEIVED_AGE_MILLIS = -1;

  private final String node;
  private final List<String> peers;
  private final ReachabilityTimings timings;
  private final boolean isDampingEnabled;
  private final VerdictRule rule;
  private final MachineEvictionRule machineEvictionRule;
  private final RequestLink stateStoreLink;
  private final RequestLink cloudLink;
  private final ZoneLinks zones;
  private final RedirectedWorkers redirectedWorkers = new RedirectedWorkers();

  /** Whether this node's loop kept up. */
  private final LocalHealth loopHealth;

  /** The same, while it could answer workers as well. */
  private final LocalHealth leaderHealth;

  private final FlapDamper leadershipLosses;
  private final LeaseLength leaseLength;
  private ReachabilityMatrix matrix = ReachabilityMatrix.EMPTY;
  private FleetReachability fleet = FleetReachability.EMPTY;
  private Verdict verdict = new Verdict.Serve();

  /**
   * The links of a node that has observed nothing yet.
   *
   * @param peers the names of the other nodes
   * @param isDampingEnabled whether flaps make leases longer and candidates wait
   * @param rule judges the links
   */
  public Reachability(
      String node,
      List<String> peers,
      ReachabilityTimings timings,
      boolean isDampingEnabled,
      VerdictRule rule) {
    this.node = node;
    this.peers = peers;
    this.timings = timings;
    this.isDampingEnabled = isDampingEnabled;
    this.rule = rule;
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

  /** The workers that come here although another node leads. */
  public RedirectedWorkers redirectedWorkers() {
    return redirectedWorkers;
  }

  /** What the other nodes' heartbeats tell. */
  public ReachabilityMatrix matrix() {
    return matrix;
  }

  /** The latest heartbeats of the nodes that are reachable. */
  public List<Mesh.PeerHeartbeat> freshPeerHeartbeats(Duration now) {
    return matrix.freshHeartbeats(timings.peerHeartbeatTimeout(), now);
  }

  /** When a single machine is given up. */
  public MachineEvictionRule machineEvictionRule() {
    return machineEvictionRule;
  }

  /** Takes in a heartbeat from another node. */
  public void receivePeerHeartbeat(Mesh.PeerHeartbeat heartbeat, Duration now) {
    matrix = matrix.withHeartbeat(heartbeat, now);
  }

  /**
   * Judges the links; called once in each interval of heartbeats.
   *
   * @param isLeading whether this node leads
   * @param mayAnswerWorkers whether it may answer workers
   * @param observedFleet how well it reaches its machines
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
    verdict = rule.evaluate(view(role, now, Optional.empty()));
    return verdict;
  }

  /** What this node does about its links now. */
  public Verdict verdict() {
    return verdict;
  }

  /** Whether a leader may plan and record, and call the cloud. */
  public boolean mayPlaceTasks() {
    return !(verdict instanceof Verdict.SuspendPlacement) && !isHandingOver();
  }

  /** Whether this node's term is about to end for the sake of its links to workers. */
  private boolean isHandingOver() {
    return verdict instanceof Verdict.HandOverLeadership;
  }

  /** Whether the machines of this zone are unreachable rather than dead. */
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

  /** How long to wait before standing for leader, so that better placed nodes go first. */
  public Duration candidacyDelay(Duration now, Optional<NodeView.Handover> handover) {
    Verdict candidateVerdict = rule.evaluate(view(NodeView.Role.CANDIDATE, now, handover));
    return candidateVerdict instanceof Verdict.DelayCandidacy delayed
        ? delayed.delay()
        : Duration.ZERO;
  }

  /** Records that this node no longer leads, though its process lives on. */
  public void recordLeadershipLoss(Duration now) {
    leadershipLosses.recordFlap(now);
    verdict = new Verdict.Serve();
    fleet = FleetReachability.EMPTY;
    zones.clear();
  }

  /** How often this node has lost its leadership since it started. */
  public long leadershipLosses() {
    return leadershipLosses.flapCount();
  }

  /** How long this node's lease is to be if it leads. */
  public Duration leaseLength(Duration now) {
    return isDampingEnabled
        ? leaseLength.forPenalty(leadershipPenalty(now))
        : timings.leaderLease();
  }

  /**
   * How often leaders whose processes live on have lost their leadership lately, in the whole
   * cluster; the sum of the nodes' penalties, see {@link FlapDamper}.
   */
  public double leadershipPenalty(Duration now) {
    double sum = leadershipLosses.penalty(now);
    for (Mesh.PeerHeartbeat heartbeat : matrix.freshHeartbeats(timings.flapHalfLife(), now)) {
      sum += heartbeat.links().leadershipPenalty() / 10.0;
    }
    return sum;
  }

  /** Whether this node's own link to the state store fails too often to be relied on. */
  public boolean isStateStoreLinkFlapping(Duration now) {
    return isDampingEnabled && stateStoreLink.damper().isFlapping(now);
  }

  /** How often zones became unreachable in this term. */
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
   * What the other nodes are to know of this one's links.
   *
   * @param isLeading whether it leads and may answer workers
   * @param address where it takes users' requests
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
      Optional<ReachabilityMatrix.Row> row = matrix.row(peer);
      result.add(
          row.isPresent()
              ? peerLink(peer, now.minus(row.get().receivedAt()))
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
              machines == null ? 0 : machines.known(),
              machines == null ? 0 : machines.missing(),
              redirected.getOrDefault(zone, 0)));
    }
    return result;
  }
}
