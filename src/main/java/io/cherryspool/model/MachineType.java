package io.cherryspool.model;

import java.time.Duration;
import java.util.List;

/** A type of machine that the cloud rents. */
public record MachineType(
    String name,
    Resources size,
    double cacheGb,
    double fetchGbPerS,
    double price,
    double spotPrice,
    Duration boot,
    List<String> zones) {

  /** The hourly price of the kind. */
  public double price(boolean spot) {
    return spot ? spotPrice : price;
  }

  // Generated record methods are linked at run time; see "Start-up" in docs/design.md.
  @Override
  public boolean equals(Object object) {
    return this == object
        || object instanceof MachineType other
            && name.equals(other.name)
            && size.equals(other.size)
            && Double.compare(cacheGb, other.cacheGb) == 0
            && Double.compare(fetchGbPerS, other.fetchGbPerS) == 0
            && Double.compare(price, other.price) == 0
            && Double.compare(spotPrice, other.spotPrice) == 0
            && boot.equals(other.boot)
            && zones.equals(other.zones);
  }

  @Override
  public int hashCode() {
    return name.hashCode();
  }
}
