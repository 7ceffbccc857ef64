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
  public record Zone(int known, int missing, int listed, int unheard) {}

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
    public void add(String zone, boolean listed, Contact contact) {
      Counts counts = zones.computeIfAbsent(zone, key -> new Counts());
      if (contact != Contact.NEW && (listed || contact != Contact.NEVER_HEARD)) {
        counts.known++;
        counts.missing += contact.missing() ? 1 : 0;
      }
      if (listed) {
        counts.listed++;
        counts.unheard += contact.unheard() ? 1 : 0;
      }
    }

    /** The numbers so far. */
    public FleetView build() {
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
      return new FleetView(known, missing, Collections.unmodifiableMap(result));
    }
  }
}
