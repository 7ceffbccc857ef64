package io.cherryspool.model;

import java.time.Duration;
import java.util.List;

/** A type of machine that the cloud rents. */
public record MachineType(
    String name,
    Resources capacity,
    double imageCacheGb,
    double fetchGbPerSecond,
    double hourlyPrice,
    double spotPrice,
    Duration bootTime,
    List<String> zones) {

  /** The hourly price of the kind. */
  public double hourlyPrice(boolean spot) {
    return spot ? spotPrice : hourlyPrice;
  }

  // Generated record methods are linked at run time; see "Start-up" in docs/design.md.
  @Override
  public boolean equals(Object object) {
    return this == object
        || object instanceof MachineType other
            && name.equals(other.name)
            && capacity.equals(other.capacity)
            && Double.compare(imageCacheGb, other.imageCacheGb) == 0
            && Double.compare(fetchGbPerSecond, other.fetchGbPerSecond) == 0
            && Double.compare(hourlyPrice, other.hourlyPrice) == 0
            && Double.compare(spotPrice, other.spotPrice) == 0
            && bootTime.equals(other.bootTime)
            && zones.equals(other.zones);
  }

  @Override
  public int hashCode() {
    return name.hashCode();
  }
}
