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
public record FleetView(int known, int missing, Map<String, Zone> zones) {
  /** Of a node that does not lead. */
  public static final FleetView EMPTY = new FleetView(0, 0, Map.of());

  /**
   * The machines of one zone.
   *
   * @param listed those that the cloud lists
   * @param unheard those of the listed ones that are not heard, or do not hear
   */
  public record Zone(int known, int missing, int listed, int unheard) {
    private static final Zone NONE = new Zone(0, 0, 0, 0);
  }

  /** Counts machines one by one. */
  public static final class Builder {
    private final Map<String, Zone> zones = new TreeMap<>();

    /**
     * Counts a machine that is not gone. One that the cloud does not list was taken back, or is too
     * new for the list; it says nothing of its zone.
     */
    public void add(String zone, boolean listed, Contact contact) {
      boolean known = contact != Contact.NEW && (listed || contact != Contact.NEVER_HEARD);
      Zone before = zones.getOrDefault(zone, Zone.NONE);
      zones.put(
          zone,
          new Zone(
              before.known + (known ? 1 : 0),
              before.missing + (known && contact.missing() ? 1 : 0),
              before.listed + (listed ? 1 : 0),
              before.unheard + (listed && contact.unheard() ? 1 : 0)));
    }

    /** The numbers so far. */
    public FleetView build() {
      int known = 0;
      int missing = 0;
      for (Zone zone : zones.values()) {
        known += zone.known;
        missing += zone.missing;
      }
      return new FleetView(known, missing, Collections.unmodifiableMap(new TreeMap<>(zones)));
    }
  }
}
