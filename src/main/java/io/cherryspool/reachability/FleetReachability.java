package io.cherryspool.reachability;

import java.util.Collections;
import java.util.Map;
import java.util.TreeMap;

/**
 * How well a leader reaches its machines, in numbers for each zone. Immutable.
 *
 * @param known machines that have sent a heartbeat in this term, or ought to have
 * @param missing those of them whose heartbeats and answers do not get through
 * @param zones the same by zone, in the order of names
 */
public record FleetReachability(int known, int missing, Map<String, Zone> zones) {
  /** Of a node that does not lead. */
  public static final FleetReachability EMPTY = new FleetReachability(0, 0, Map.of());

  /**
   * The machines of one zone.
   *
   * @param known as for the fleet
   * @param missing as for the fleet
   * @param listed those that the cloud lists
   * @param unreachable those of the listed ones to or from which nothing gets through
   */
  public record Zone(int known, int missing, int listed, int unreachable) {}

  /** Counts machines one by one, thousands of them twice a second. Confined to one thread. */
  public static final class Builder {
    private final Map<String, Counts> zones = new TreeMap<>();

    private static final class Counts {
      private int known;
      private int missing;
      private int listed;
      private int unreachable;
    }

    /**
     * Counts a machine that is not deleted. One that the cloud does not list was taken back, or is
     * too new for the list; it tells nothing of its zone.
     */
    public void addMachine(String zone, boolean isListed, ContactState contact) {
      Counts counts = zones.computeIfAbsent(zone, key -> new Counts());
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

    /** The numbers so far. */
    public FleetReachability build() {
      int known = 0;
      int missing = 0;
      Map<String, Zone> result = new TreeMap<>();
      for (Map.Entry<String, Counts> entry : zones.entrySet()) {
        Counts counts = entry.getValue();
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
