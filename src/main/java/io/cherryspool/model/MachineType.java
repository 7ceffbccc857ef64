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
}
