package io.cherryspool.controller.provisioning;

import io.cherryspool.cloud.CloudClient;
import io.cherryspool.controller.fleet.Fleet;
import io.cherryspool.lifecycle.EventLoop;
import io.cherryspool.model.Durations;
import io.cherryspool.model.Instance;
import io.cherryspool.model.MachineType;
import io.cherryspool.scheduler.ScalingPlanner;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletionException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Requests instances from the cloud to scale the fleet out. A request whose outcome is unknown is
 * repeated under the same name. Requested instances are tracked as expected instances until they
 * send their first heartbeat. Used on the event loop only.
 */
final class InstanceRequests {
  private static final Logger LOG = LoggerFactory.getLogger(InstanceRequests.class);
  private static final int MAX_INSTANCES_PER_REQUEST = 50;

  /** How long an offering is not requested again after it had no capacity. */
  private static final Duration UNAVAILABLE_DURATION = Duration.ofSeconds(15);

  private final EventLoop loop;
  private final CloudCallSlot calls;
  private final Fleet fleet;
  private final String namePrefix;
  private final Duration maxUnlistedTime;
  private final Map<String, ExpectedInstance> expectedInstances = new HashMap<>();
  private final Map<ScalingPlanner.Offering, Duration> unavailableSince = new HashMap<>();
  private InstanceRequest unansweredRequest;
  private int requestCount;

  /** An instance requested in this term that has sent no heartbeat yet. */
  private record ExpectedInstance(ScalingPlanner.Offering offering, Duration requestedAt) {}

  private record InstanceRequest(String name, ScalingPlanner.Offering offering, int count) {}

  /**
   * Creates the instance requests of a term.
   *
   * @param namePrefix the prefix that distinguishes the names of this term's requests from those of
   *     all other terms
   * @param listLag the longest time until a new instance appears in the cloud's list
   */
  InstanceRequests(
      EventLoop loop, CloudCallSlot calls, Fleet fleet, String namePrefix, Duration listLag) {
    this.loop = loop;
    this.calls = calls;
    this.fleet = fleet;
    this.namePrefix = namePrefix;
    this.maxUnlistedTime = Durations.multiply(listLag, 4);
  }

  /** Whether the outcome of a request is unknown, so that the request must be repeated. */
  boolean hasUnansweredRequest() {
    return unansweredRequest != null;
  }

  /**
   * Repeats the request whose outcome is unknown. The cloud recognises it by its name and does not
   * provide the instances twice.
   */
  void repeatUnansweredRequest() {
    send(unansweredRequest);
  }

  /** Requests instances, at most {@link #MAX_INSTANCES_PER_REQUEST}. */
  void request(ScalingPlanner.Offering offering, int count) {
    requestCount++;
    send(
        new InstanceRequest(
            namePrefix + requestCount, offering, Math.min(count, MAX_INSTANCES_PER_REQUEST)));
  }

  /** Returns a view of the offerings that had no capacity recently. */
  Set<ScalingPlanner.Offering> unavailableOfferings(Duration now) {
    unavailableSince
        .values()
        .removeIf(refusedAt -> now.minus(refusedAt).compareTo(UNAVAILABLE_DURATION) > 0);
    return unavailableSince.keySet();
  }

  /** Stops expecting a heartbeat of the instance, since it has been deleted. */
  void removeExpected(String name) {
    expectedInstances.remove(name);
  }

  /**
   * Returns the offerings of the instances that are being provisioned: those requested in this
   * term, and those listed as booting.
   */
  List<ScalingPlanner.Offering> provisioningOfferings(
      InstanceList list, Map<String, MachineType> types) {
    removeNoLongerExpected(list, loop.now());
    List<ScalingPlanner.Offering> result = new ArrayList<>();
    for (ExpectedInstance instance : expectedInstances.values()) {
      result.add(instance.offering);
    }
    for (Instance instance : list.all()) {
      if (instance.status() == Instance.Status.BOOTING
          && !fleet.hasSentHeartbeat(instance.name())
          && !expectedInstances.containsKey(instance.name())
          && !fleet.isDeleted(instance.name())
          && types.containsKey(instance.type())) {
        result.add(
            new ScalingPlanner.Offering(
                types.get(instance.type()), instance.zone(), instance.isSpot()));
      }
    }
    return result;
  }

  /**
   * Stops expecting instances that have sent a heartbeat, are deleted, or are still missing from
   * the list although it should show them by now.
   */
  private void removeNoLongerExpected(InstanceList list, Duration now) {
    expectedInstances
        .entrySet()
        .removeIf(
            entry -> {
              String name = entry.getKey();
              boolean isMissingTooLong =
                  !list.contains(name)
                      && now.minus(entry.getValue().requestedAt).compareTo(maxUnlistedTime) > 0;
              return fleet.hasSentHeartbeat(name) || isMissingTooLong || fleet.isDeleted(name);
            });
  }

  private void send(InstanceRequest request) {
    unansweredRequest = request;
    ScalingPlanner.Offering offering = request.offering;
    calls
        .acquire()
        .requestInstances(
            request.name, offering.type().name(), offering.zone(), offering.isSpot(), request.count)
        .whenComplete(
            (names, failure) -> {
              calls.release();
              if (failure == null) {
                unansweredRequest = null;
                recordProvided(request, names);
              } else if (unwrap(failure) instanceof CloudClient.RefusedException refused
                  && refused.isOutOfCapacity()) {
                unansweredRequest = null;
                unavailableSince.put(offering, loop.now());
                LOG.info(
                    "scale out: no capacity, type={} zone={} spot={}",
                    offering.type().name(),
                    offering.zone(),
                    offering.isSpot());
              }
            });
  }

  private void recordProvided(InstanceRequest request, List<String> names) {
    ScalingPlanner.Offering offering = request.offering;
    LOG.info(
        "scale out: {} of {} instances provided, type={} zone={} spot={} request={}",
        names.size(),
        request.count,
        offering.type().name(),
        offering.zone(),
        offering.isSpot(),
        request.name);
    Duration now = loop.now();
    names.forEach(name -> expectedInstances.put(name, new ExpectedInstance(offering, now)));
    if (names.size() < request.count) {
      unavailableSince.put(offering, now);
    }
  }

  private static Throwable unwrap(Throwable failure) {
    return failure instanceof CompletionException && failure.getCause() != null
        ? failure.getCause()
        : failure;
  }
}
