package io.cherryspool.reachability;

import io.cherryspool.mesh.LinkState;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

/**
 * A leader's links to the workers of each zone. A zone in which a third of the machines that the
 * cloud still lists became unreachable at once is rather cut off than dead, and so is this node
 * where its workers' heartbeats are late: the machines may be running their tasks well. Of a zone
 * that is cut off more than half are late when the first of them have been silent for two
 * heartbeats; machines that die or hang together are a smaller part of it. Confined to the event
 * loop.
 */
final class ZoneLinks {
  /** One machine may be dead. */
  private static final int MIN_UNREACHABLE_MACHINES = 2;

  /** With more than one machine of so many unreachable, the zone is. */
  private static final int DOWN_DIVISOR = 3;

  /** While more than one machine of so many is unreachable, a zone that was down still is. */
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
   * Links of a leader that has observed nothing yet.
   *
   * @param halfLife in what time the penalty for flaps of a zone halves
   */
  ZoneLinks(Duration halfLife) {
    this.halfLife = halfLife;
  }

  /** Takes in how well the machines are reached now. */
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

  /** Whether much of the fleet is unreachable, and not in one zone alone. */
  private static boolean isFleetUnreachable(FleetReachability fleet) {
    int listed = 0;
    int unreachable = 0;
    int affectedZones = 0;
    for (FleetReachability.Zone zone : fleet.zones().values()) {
      listed += zone.listed();
      unreachable += zone.unreachable();
      affectedZones += zone.unreachable() * UP_DIVISOR > zone.listed() ? 1 : 0;
    }
    return affectedZones > 1
        && unreachable >= MIN_UNREACHABLE_MACHINES
        && unreachable * DOWN_DIVISOR > listed;
  }

  /** For how long much of the fleet, in several zones, has been unreachable; empty if it is not. */
  Optional<Duration> fleetUnreachableFor(Duration now) {
    return Optional.ofNullable(fleetUnreachableSince).map(now::minus);
  }

  private static LinkState nextState(LinkState previous, FleetReachability.Zone zone) {
    if (zone.unreachable() < MIN_UNREACHABLE_MACHINES) {
      return LinkState.UP;
    }
    if (zone.unreachable() * DOWN_DIVISOR > zone.listed()) {
      return LinkState.DOWN;
    }
    if (zone.unreachable() * UP_DIVISOR > zone.listed()) {
      return previous == LinkState.DOWN ? LinkState.DOWN : LinkState.SUSPECT;
    }
    return LinkState.UP;
  }

  /** The link to the workers of a zone; up for a zone without machines. */
  LinkState state(String zone) {
    ZoneLink link = links.get(zone);
    return link == null ? LinkState.UP : link.state;
  }

  /** The zones that are unreachable, as far as this node can tell, in the order of names. */
  Set<String> unreachableZones() {
    Set<String> result = new TreeSet<>();
    for (Map.Entry<String, ZoneLink> entry : links.entrySet()) {
      if (entry.getValue().state == LinkState.DOWN) {
        result.add(entry.getKey());
      }
    }
    return result;
  }

  /** How often the present zones became unreachable in this term. */
  long flapCount() {
    return links.values().stream().mapToLong(link -> link.damper.flapCount()).sum();
  }

  /** Drops all links, because a new term observes its machines anew. */
  void clear() {
    links.clear();
    fleetUnreachableSince = null;
  }
}
