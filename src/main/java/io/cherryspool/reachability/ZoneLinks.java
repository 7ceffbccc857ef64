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
 * cloud still lists fell silent or deaf at once is rather cut off than dead, and so is this node
 * where its reports come late: the machines may be running their tasks well. Of a zone that is cut
 * more than half are late when the first of them have been silent for two reports; machines that
 * die or hang together are a smaller part of it.
 */
final class ZoneLinks {
  /** One machine may be dead. */
  private static final int LEAST = 2;

  /** More than one part in so many unheard: the zone is cut off. */
  private static final int DOWN_PART = 3;

  /** While more than one part in so many is unheard, a zone that was cut off still is. */
  private static final int UP_PART = 6;

  private final Duration halfLife;
  private final Map<String, ZoneLink> links = new HashMap<>();
  private Duration fleetUnreachableSince;

  private static final class ZoneLink {
    private LinkState state = LinkState.UP;
    private final FlapDamper damper;

    ZoneLink(Duration halfLife) {
      damper = new FlapDamper(halfLife);
    }
  }

  ZoneLinks(Duration halfLife) {
    this.halfLife = halfLife;
  }

  /** Takes in how the machines are heard now. */
  void observe(FleetReachability fleet, Duration now) {
    fleet
        .zones()
        .forEach(
            (name, zone) -> {
              ZoneLink link = links.computeIfAbsent(name, key -> new ZoneLink(halfLife));
              LinkState next = next(link.state, zone);
              if (next == LinkState.DOWN && link.state != LinkState.DOWN) {
                link.damper.recordFlap(now);
              }
              link.state = next;
            });
    links.keySet().retainAll(fleet.zones().keySet());
    if (!isFleetUnreachable(fleet)) {
      fleetUnreachableSince = null;
    } else if (fleetUnreachableSince == null) {
      fleetUnreachableSince = now;
    }
  }

  /** Whether much of the fleet is unheard, and not in one zone alone. */
  private static boolean isFleetUnreachable(FleetReachability fleet) {
    int listed = 0;
    int unheard = 0;
    int affected = 0;
    for (FleetReachability.Zone zone : fleet.zones().values()) {
      listed += zone.listed();
      unheard += zone.unreachable();
      affected += zone.unreachable() * UP_PART > zone.listed() ? 1 : 0;
    }
    return affected > 1 && unheard >= LEAST && unheard * DOWN_PART > listed;
  }

  /** For how long much of the fleet, in several zones, has been unheard; empty if it is heard. */
  Optional<Duration> fleetUnreachableFor(Duration now) {
    return Optional.ofNullable(fleetUnreachableSince).map(now::minus);
  }

  private static LinkState next(LinkState before, FleetReachability.Zone zone) {
    boolean many = zone.unreachable() >= LEAST;
    if (many && zone.unreachable() * DOWN_PART > zone.listed()) {
      return LinkState.DOWN;
    }
    if (many && zone.unreachable() * UP_PART > zone.listed()) {
      return before == LinkState.DOWN ? LinkState.DOWN : LinkState.SUSPECT;
    }
    return LinkState.UP;
  }

  LinkState state(String zone) {
    ZoneLink link = links.get(zone);
    return link == null ? LinkState.UP : link.state;
  }

  /** The zones that nobody hears, as far as this node can tell. */
  Set<String> unreachableZones() {
    Set<String> result = new TreeSet<>();
    links.forEach(
        (name, link) -> {
          if (link.state == LinkState.DOWN) {
            result.add(name);
          }
        });
    return result;
  }

  /** How often zones were lost. */
  long flapCount() {
    return links.values().stream().mapToLong(link -> link.damper.flapCount()).sum();
  }

  /** Forgets all; a new term hears its machines anew. */
  void clear() {
    links.clear();
    fleetUnreachableSince = null;
  }
}
