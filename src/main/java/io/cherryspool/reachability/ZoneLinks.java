package io.cherryspool.reachability;

import io.cherryspool.mesh.LinkState;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

/**
 * A leader's links to the workers of each zone. If more than a third of the machines that the cloud
 * lists in a zone became unreachable at the same time, they are probably not dead: the zone or this
 * node is probably cut off, and the machines may still be running their tasks. In a zone that is
 * cut off, more than half of the machines are late by the time that the first of them have missed
 * two heartbeats. Machines that die or hang together are a smaller part of their zone. Confined to
 * the event loop.
 */
final class ZoneLinks {
  /**
   * The smallest number of unreachable machines for which a zone's link may be anything but up; a
   * single machine may be dead.
   */
  private static final int MIN_UNREACHABLE_MACHINES = 2;

  /**
   * A zone's link is down once more than 1/{@code DOWN_DIVISOR} of the zone's listed machines are
   * unreachable.
   */
  private static final int DOWN_DIVISOR = 3;

  /**
   * A link that was down remains down while more than 1/{@code UP_DIVISOR} of the zone's listed
   * machines are unreachable.
   */
  private static final int UP_DIVISOR = 6;

  private final Duration halfLife;
  private final Map<String, ZoneLink> links = new HashMap<>();
  private Duration fleetUnreachableSince;

  private static final class ZoneLink {
    private final FlapDamper damper;
    private LinkState state = LinkState.UP;

    ZoneLink(Duration halfLife) {
      damper = new FlapDamper(halfLife);
    }

    void observe(FleetReachability.Zone zone, Duration now) {
      LinkState next = nextState(state, zone);
      if (next == LinkState.DOWN && state != LinkState.DOWN) {
        damper.recordFlap(now);
      }
      state = next;
    }
  }

  /**
   * Creates the links of a leader that has observed nothing yet.
   *
   * @param halfLife the time in which the penalty for a zone's flaps halves
   */
  ZoneLinks(Duration halfLife) {
    this.halfLife = halfLife;
  }

  /** Updates the links from the numbers of machines that the leader reaches now. */
  void observe(FleetReachability fleet, Duration now) {
    for (Map.Entry<String, FleetReachability.Zone> entry : fleet.zones().entrySet()) {
      links
          .computeIfAbsent(entry.getKey(), name -> new ZoneLink(halfLife))
          .observe(entry.getValue(), now);
    }
    links.keySet().retainAll(fleet.zones().keySet());
    if (!isFleetUnreachable(fleet)) {
      fleetUnreachableSince = null;
    } else if (fleetUnreachableSince == null) {
      fleetUnreachableSince = now;
    }
  }

  /** Whether much of the fleet is unreachable, and in more than one zone. */
  private static boolean isFleetUnreachable(FleetReachability fleet) {
    int listed = 0;
    int unreachable = 0;
    int affectedZones = 0;
    for (FleetReachability.Zone zone : fleet.zones().values()) {
      listed += zone.listedMachines();
      unreachable += zone.unreachableMachines();
      affectedZones += zone.unreachableMachines() * UP_DIVISOR > zone.listedMachines() ? 1 : 0;
    }
    return affectedZones > 1
        && unreachable >= MIN_UNREACHABLE_MACHINES
        && unreachable * DOWN_DIVISOR > listed;
  }

  /**
   * Returns for how long much of the fleet, in several zones, has been unreachable; empty if it is
   * not.
   */
  Optional<Duration> fleetUnreachableFor(Duration now) {
    return Optional.ofNullable(fleetUnreachableSince).map(now::minus);
  }

  private static LinkState nextState(LinkState previous, FleetReachability.Zone zone) {
    if (zone.unreachableMachines() < MIN_UNREACHABLE_MACHINES) {
      return LinkState.UP;
    }
    if (zone.unreachableMachines() * DOWN_DIVISOR > zone.listedMachines()) {
      return LinkState.DOWN;
    }
    if (zone.unreachableMachines() * UP_DIVISOR > zone.listedMachines()) {
      return previous == LinkState.DOWN ? LinkState.DOWN : LinkState.SUSPECT;
    }
    return LinkState.UP;
  }

  /** Returns the state of the link to the workers of a zone; up for a zone without machines. */
  LinkState state(String zone) {
    ZoneLink link = links.get(zone);
    return link == null ? LinkState.UP : link.state;
  }

  /** Returns the zones that are unreachable, as far as this node can tell, sorted by name. */
  Set<String> unreachableZones() {
    Set<String> result = new TreeSet<>();
    for (Map.Entry<String, ZoneLink> entry : links.entrySet()) {
      if (entry.getValue().state == LinkState.DOWN) {
        result.add(entry.getKey());
      }
    }
    return result;
  }

  /** Returns how often the present zones became unreachable in this term. */
  long flapCount() {
    return links.values().stream().mapToLong(link -> link.damper.flapCount()).sum();
  }

  /** Removes all links, because a new term observes its machines from the start. */
  void clear() {
    links.clear();
    fleetUnreachableSince = null;
  }
}
