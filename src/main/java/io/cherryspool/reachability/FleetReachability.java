package io.cherryspool.reachability;

import java.util.Collections;
import java.util.Map;
import java.util.TreeMap;

/**
 * How a leader hears its machines, in numbers for each zone.
 *
 * @param known machines that were heard in this term, or ought to have been
 * @param missing those whose reports and answers do not get through
 */
public record FleetReachability(int known, int missing, Map<String, Zone> zones) {
  /** Of a node that does not lead. */
  public static final FleetReachability EMPTY = new FleetReachability(0, 0, Map.of());

  /**
   * The machines of one zone.
   *
   * @param listed those that the cloud lists
   * @param unreachable those of the listed ones that are not heard, or do not hear
   */
  public record Zone(int known, int missing, int listed, int unreachable) {}

  /** Counts machines one by one, thousands of them twice a second. */
  public static final class Builder {
    private final Map<String, Counts> zones = new TreeMap<>();

    private static final class Counts {
      private int known;
      private int missing;
      private int listed;
      private int unheard;
    }

    /**
     * Counts a machine that is not gone. One that the cloud does not list was taken back, or is too
     * new for the list; it says nothing of its zone.
     */
    public void addMachine(String zone, boolean listed, ContactState contact) {
      Counts counts = zones.computeIfAbsent(zone, key -> new Counts());
      if (contact != ContactState.NEW && (listed || contact != ContactState.NEVER_SEEN)) {
        counts.known++;
        counts.missing += contact.isMissing() ? 1 : 0;
      }
      if (listed) {
        counts.listed++;
        counts.unheard += contact.isUnreachable() ? 1 : 0;
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
            entry.getKey(), new Zone(counts.known, counts.missing, counts.listed, counts.unheard));
      }
      return new FleetReachability(known, missing, Collections.unmodifiableMap(result));
    }
  }
}
