package io.cherryspool.reachability;

import java.util.Collections;
import java.util.Map;
import java.util.TreeMap;

/**
 * How many machines a leader reaches, in total and for each zone. Immutable.
 *
 * @param knownMachines the number of machines that have sent a heartbeat in this term, or should
 *     have
 * @param missingMachines how many of the known machines send no heartbeats in time or receive no
 *     answers
 * @param zones the numbers of each zone, sorted by zone name
 */
public record FleetReachability(int knownMachines, int missingMachines, Map<String, Zone> zones) {
  /** The numbers of a node that does not lead. */
  public static final FleetReachability EMPTY = new FleetReachability(0, 0, Map.of());

  /**
   * The numbers of one zone.
   *
   * @param knownMachines as in {@link FleetReachability}
   * @param missingMachines as in {@link FleetReachability}
   * @param listedMachines the number of machines that the cloud lists
   * @param unreachableMachines how many of the listed machines receive no messages, or send none
   *     that arrive
   */
  public record Zone(
      int knownMachines, int missingMachines, int listedMachines, int unreachableMachines) {}

  /**
   * Counts machines one by one. A leader counts thousands of them twice a second. Confined to one
   * thread.
   */
  public static final class Builder {
    private final Map<String, ZoneCounts> zones = new TreeMap<>();

    private static final class ZoneCounts {
      private int known;
      private int missing;
      private int listed;
      private int unreachable;
    }

    /**
     * Counts a machine that has not been deleted. A machine that the cloud does not list was
     * preempted, or is too new for the list; its contact state says nothing about its zone's link.
     */
    public void addMachine(String zone, boolean isListed, ContactState contact) {
      ZoneCounts counts = zones.computeIfAbsent(zone, key -> new ZoneCounts());
      boolean isExpected = isListed || contact != ContactState.NEVER_SEEN;
      if (contact != ContactState.NEW && isExpected) {
        counts.known++;
        counts.missing += contact.isMissing() ? 1 : 0;
      }
      if (isListed) {
        counts.listed++;
        counts.unreachable += contact.isUnreachable() ? 1 : 0;
      }
    }

    /** Returns the numbers of the machines counted so far. */
    public FleetReachability build() {
      int known = 0;
      int missing = 0;
      Map<String, Zone> result = new TreeMap<>();
      for (Map.Entry<String, ZoneCounts> entry : zones.entrySet()) {
        ZoneCounts counts = entry.getValue();
        known += counts.known;
        missing += counts.missing;
        result.put(
            entry.getKey(),
            new Zone(counts.known, counts.missing, counts.listed, counts.unreachable));
      }
      return new FleetReachability(known, missing, Collections.unmodifiableMap(result));
    }
  }
}
