package io.cherryspool.model;

import java.time.Duration;
import java.util.List;

/**
 * A machine type of the cloud's catalog. The components are the fields of a catalog entry.
 *
 * @param capacity the resources that are available to the tasks on one machine
 * @param imageCacheGb the size of a machine's image cache in gigabytes
 * @param fetchGbPerSecond the nominal rate at which a machine fetches images
 * @param onDemandPrice the hourly price of an on-demand instance
 * @param spotPrice the hourly price of a spot instance when the catalog was read
 * @param bootTime the nominal time from the request of an instance to its first heartbeat
 * @param zones the zones in which the type is offered
 */
public record MachineType(
    String name,
    Resources capacity,
    double imageCacheGb,
    double fetchGbPerSecond,
    double onDemandPrice,
    double spotPrice,
    Duration bootTime,
    List<String> zones) {
  /** Minimum rate for the computation of fetch times, which keeps them finite. */
  private static final double MIN_FETCH_GB_PER_SECOND = 0.001;

  /** Returns the hourly price of a spot instance or of an on-demand instance. */
  public double hourlyPrice(boolean isSpot) {
    return isSpot ? spotPrice : onDemandPrice;
  }

  /** Returns the hourly price per CPU. A type with less than one CPU is treated as having one. */
  public double hourlyPricePerCpu(boolean isSpot) {
    return hourlyPrice(isSpot) / Math.max(1, capacity.cpus());
  }

  /**
   * Returns the seconds that a machine needs to fetch an image of this size at the nominal rate.
   */
  public double fetchSeconds(double imageGb) {
    return imageGb / Math.max(MIN_FETCH_GB_PER_SECOND, fetchGbPerSecond);
  }

  // Written by hand, since generated record methods are linked at run time; see "Start-up" in
  // docs/design.md.
  @Override
  public boolean equals(Object object) {
    return this == object
        || (object instanceof MachineType other
            && name.equals(other.name)
            && capacity.equals(other.capacity)
            && Double.compare(imageCacheGb, other.imageCacheGb) == 0
            && Double.compare(fetchGbPerSecond, other.fetchGbPerSecond) == 0
            && Double.compare(onDemandPrice, other.onDemandPrice) == 0
            && Double.compare(spotPrice, other.spotPrice) == 0
            && bootTime.equals(other.bootTime)
            && zones.equals(other.zones));
  }

  @Override
  public int hashCode() {
    return name.hashCode();
  }
}
