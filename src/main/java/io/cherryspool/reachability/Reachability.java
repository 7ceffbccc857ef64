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

/** One node's links: what was observed of them, what others tell, and the verdict on it. */
public final class Reachability {
  private final String node;
  private final List<String> peers;
  private final ReachabilityTimings timings;
  private final boolean damping;
  private final VerdictRule rule;
  private final MachineEvictionRule machineRule;
  private final RequestLink stateLink;
  private final RequestLink cloudLink;
  private final ZoneLinks zones;
  private final RedirectedWorkers redirectedWorkers = new RedirectedWorkers();
  private final LocalHealth pace;
  private final LocalHealth acting;
  private final FlapDamper leadershipLosses;
  private final LeaseLength leaseLength;
  private ReachabilityMatrix matrix = ReachabilityMatrix.EMPTY;
  private FleetReachability fleet = FleetReachability.EMPTY;
  private Verdict verdict = new Verdict.Serve();

  /**
   * @param peers the names of the other nodes
   * @param damping whether flaps make leases longer and candidates wait
   */
  public Reachability(
      String node,
      List<String> peers,
      ReachabilityTimings timings,
      boolean damping,
      VerdictRule rule) {
    this.node = node;
    this.peers = peers;
    this.timings = timings;
    this.damping = damping;
    this.rule = rule;
    this.machineRule = new MachineEvictionRule(timings);
    this.stateLink = new RequestLink(timings.stateCallTimeout(), timings.flapHalfLife());
    this.cloudLink = new RequestLink(timings.leaderLease(), timings.flapHalfLife());
    this.zones = new ZoneLinks(timings.flapHalfLife());
    Duration tolerance = Durations.divide(timings.peerHeartbeatInterval(), 2);
    this.pace = new LocalHealth(tolerance);
    this.acting = new LocalHealth(tolerance);
    this.leadershipLosses = new FlapDamper(timings.flapHalfLife());
    this.leaseLength = new LeaseLength(timings.leaderLease(), timings.maxLeaderAuthority());
  }

  /** The link to the state service. */
  public RequestLink stateLink() {
    return stateLink;
  }

  /** The link to the cloud. */
  public RequestLink cloudLink() {
    return cloudLink;
  }

  /** The workers that come here although another node leads. */
  public RedirectedWorkers redirectedWorkers() {
    return redirectedWorkers;
  }

  /** What the other nodes tell. */
  public ReachabilityMatrix matrix() {
    return matrix;
  }

  /** The latest heartbeats of the nodes that are heard. */
  public List<Mesh.PeerHeartbeat> freshPeerHeartbeats(Duration now) {
    return matrix.freshHeartbeats(timings.peerHeartbeatTimeout(), now);
  }

  /** When a single machine is given up. */
  public MachineEvictionRule machineRule() {
    return machineRule;
  }

  /** Takes in a heartbeat from another node. */
  public void receive(Mesh.PeerHeartbeat heartbeat, Duration now) {
    matrix = matrix.withHeartbeat(heartbeat, now);
  }

  /**
   * Judges the links, once in a heartbeat's time.
   *
   * @param leading whether this node leads
   * @param acts whether it may answer workers
   * @param heard how it hears its machines
   */
  public Verdict judge(Duration now, boolean leading, boolean acts, FleetReachability heard) {
    pace.recordStep(now, timings.peerHeartbeatInterval());
    acting.recordStep(now, timings.peerHeartbeatInterval());
    if (!acts) {
      acting.reset(now);
    }
    fleet = heard;
    zones.observe(heard, now);
    NodeView.Role role = leading ? NodeView.Role.LEADER : NodeView.Role.FOLLOWER;
    verdict = rule.judge(view(role, now, Optional.empty()));
    return verdict;
  }

  /** What this node does about its links now. */
  public Verdict verdict() {
    return verdict;
  }

  /** Whether a leader may plan and record, and call the cloud. */
  public boolean mayPlaceTasks() {
    return !(verdict instanceof Verdict.SuspendPlacement);
  }

  /** Whether the machines of this zone are unheard rather than dead. */
  public boolean isZoneEvictionSuspended(String zone) {
    return verdict instanceof Verdict.SuspendFleetChanges
        || verdict instanceof Verdict.SuspendZoneEviction held && held.zones().contains(zone);
  }

  /** Whether a leader may rent machines, and return idle ones. */
  public boolean mayChangeFleet() {
    return mayPlaceTasks() && !(verdict instanceof Verdict.SuspendFleetChanges);
  }

  /** How long to wait before standing for leader, so that better placed nodes go first. */
  public Duration candidacyDelay(Duration now, Optional<NodeView.Handover> handover) {
    Verdict judged = rule.judge(view(NodeView.Role.CANDIDATE, now, handover));
    return judged instanceof Verdict.DelayCandidacy later ? later.delay() : Duration.ZERO;
  }

  /** This node no longer leads, though its process lives on. */
  public void recordLeadershipLoss(Duration now) {
    leadershipLosses.recordFlap(now);
    verdict = new Verdict.Serve();
    fleet = FleetReachability.EMPTY;
    zones.clear();
  }

  /** How often this node lost its leadership. */
  public long leadershipLosses() {
    return leadershipLosses.flapCount();
  }

  /** How long this node's lease is to be if it leads. */
  public Duration leaseLength(Duration now) {
    return damping ? leaseLength.forPenalty(leadershipPenalty(now)) : timings.leaderLease();
  }

  /** How often leaders that live have lost their leadership lately, in the whole cluster. */
  public double leadershipPenalty(Duration now) {
    double sum = leadershipLosses.penalty(now);
    for (Mesh.PeerHeartbeat heartbeat : matrix.freshHeartbeats(timings.flapHalfLife(), now)) {
      sum += heartbeat.links().leadershipPenalty() / 10.0;
    }
    return sum;
  }

  /** Whether this node's own link to the state service can't be relied on. */
  public boolean isStateLinkFlapping(Duration now) {
    return damping && stateLink.damper().isFlapping(now);
  }

  /** How often zones were lost. */
  public long zoneFlapCount() {
    return zones.flapCount();
  }

  private NodeView view(NodeView.Role role, Duration now, Optional<NodeView.Handover> handover) {
    return new NodeView(
        role,
        node,
        now,
        stateLink.state(now),
        isStateLinkFlapping(now),
        acting.steadyFor(now),
        fleet,
        zones.unreachableZones(),
        zones.fleetUnreachableFor(now),
        matrix,
        damping ? leadershipPenalty(now) : 0,
        handover);
  }

  /** What the other nodes are to know of this one's links. */
  public LinkSummary linkSummary(Duration now, boolean leading, String address) {
    return new LinkSummary(
        leading,
        address,
        stateLink.state(now),
        cloudLink.state(now),
        pace.steadyFor(now).compareTo(timings.workerHeartbeatOverdueAfter()) < 0,
        (int) Math.round(10 * leadershipLosses.penalty(now)),
        verdict.describe() + ": " + verdict.reason().text(),
        peerLinks(now),
        zoneLinks(now));
  }

  private List<LinkSummary.PeerLink> peerLinks(Duration now) {
    List<LinkSummary.PeerLink> result = new ArrayList<>();
    for (String peer : peers) {
      Duration received = matrix.row(peer).map(ReachabilityMatrix.Row::receivedAt).orElse(null);
      if (received == null) {
        result.add(new LinkSummary.PeerLink(peer, LinkState.DOWN, -1));
        continue;
      }
      Duration age = now.minus(received);
      LinkState heard =
          age.compareTo(timings.peerHeartbeatTimeout()) < 0
              ? LinkState.UP
              : age.compareTo(timings.leaderLease()) < 0 ? LinkState.SUSPECT : LinkState.DOWN;
      result.add(new LinkSummary.PeerLink(peer, heard, (int) Math.min(age.toMillis(), 86_400_000)));
    }
    return result;
  }

  private List<LinkSummary.ZoneLink> zoneLinks(Duration now) {
    Map<String, Integer> redirected = redirectedWorkers.countByZone(now);
    Set<String> names = new TreeSet<>(fleet.zones().keySet());
    names.addAll(redirected.keySet());
    List<LinkSummary.ZoneLink> result = new ArrayList<>();
    for (String zone : names) {
      FleetReachability.Zone heard = fleet.zones().get(zone);
      result.add(
          new LinkSummary.ZoneLink(
              zone,
              zones.state(zone),
              heard == null ? 0 : heard.known(),
              heard == null ? 0 : heard.missing(),
              redirected.getOrDefault(zone, 0)));
    }
    return result;
  }
}
