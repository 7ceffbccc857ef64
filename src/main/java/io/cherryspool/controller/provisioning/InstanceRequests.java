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
 * Scales the fleet out: requests instances from the cloud, repeats a request whose answer is not
 * known under the same name, and keeps what was requested and has not sent a heartbeat yet. Used on
 * the event loop only.
 */
final class InstanceRequests {
  private static final Logger LOG = LoggerFactory.getLogger(InstanceRequests.class);
  private static final int MAX_INSTANCES_PER_REQUEST = 50;

  /** How long an offering that had no capacity is not requested again. */
  private static final Duration UNAVAILABLE_FOR = Duration.ofSeconds(15);

  private final EventLoop loop;
  private final CloudCallSlot calls;
  private final Fleet fleet;
  private final String namePrefix;
  private final Duration unlistedLimit;
  private final Map<String, Expected> expected = new HashMap<>();
  private final Map<ScalingPlanner.Offering, Duration> unavailableSince = new HashMap<>();
  private Request unanswered;
  private int counter;

  /** An instance requested in this term that has sent no heartbeat yet. */
  private record Expected(ScalingPlanner.Offering offering, Duration since) {}

  private record Request(String name, ScalingPlanner.Offering offering, int count) {}

  /**
   * Creates the instance requests.
   *
   * @param namePrefix makes the names of this term's requests unlike those of any other
   * @param listLag how far the cloud's list may be behind
   */
  InstanceRequests(
      EventLoop loop, CloudCallSlot calls, Fleet fleet, String namePrefix, Duration listLag) {
    this.loop = loop;
    this.calls = calls;
    this.fleet = fleet;
    this.namePrefix = namePrefix;
    this.unlistedLimit = Durations.multiply(listLag, 4);
  }

  /** Whether the outcome of a request is unknown, so that it has to be repeated. */
  boolean hasUnanswered() {
    return unanswered != null;
  }

  /** Sends the request with the unknown outcome again, which the cloud takes for the same one. */
  void repeatUnanswered() {
    send(unanswered);
  }

  /** Requests instances, at most as many as one request may ask for. */
  void request(ScalingPlanner.Offering offering, int count) {
    counter++;
    send(new Request(namePrefix + counter, offering, Math.min(count, MAX_INSTANCES_PER_REQUEST)));
  }

  /** The offerings that lately had no capacity, as a view. */
  Set<ScalingPlanner.Offering> unavailableOfferings(Duration now) {
    unavailableSince.values().removeIf(at -> now.minus(at).compareTo(UNAVAILABLE_FOR) > 0);
    return unavailableSince.keySet();
  }

  /** The instance is deleted and will send no heartbeat. */
  void removeExpected(String name) {
    expected.remove(name);
  }

  /** The offerings of instances on their way: requested in this term, or listed as booting. */
  List<ScalingPlanner.Offering> provisioning(InstanceList list, Map<String, MachineType> types) {
    removeArrived(list, loop.now());
    List<ScalingPlanner.Offering> result = new ArrayList<>();
    for (Expected item : expected.values()) {
      result.add(item.offering);
    }
    for (Instance item : list.all()) {
      if (item.status() == Instance.Status.BOOTING
          && !fleet.hasSentHeartbeat(item.name())
          && !expected.containsKey(item.name())
          && !fleet.isDeleted(item.name())
          && types.containsKey(item.type())) {
        result.add(new ScalingPlanner.Offering(types.get(item.type()), item.zone(), item.isSpot()));
      }
    }
    return result;
  }

  /** Drops what has arrived or is deleted, and what the list should show by now and does not. */
  private void removeArrived(InstanceList list, Duration now) {
    expected
        .entrySet()
        .removeIf(
            entry -> {
              String name = entry.getKey();
              boolean isLost =
                  !list.contains(name)
                      && now.minus(entry.getValue().since).compareTo(unlistedLimit) > 0;
              return fleet.hasSentHeartbeat(name) || isLost || fleet.isDeleted(name);
            });
  }

  private void send(Request request) {
    unanswered = request;
    ScalingPlanner.Offering offering = request.offering;
    calls
        .acquire()
        .requestInstances(
            request.name, offering.type().name(), offering.zone(), offering.isSpot(), request.count)
        .whenComplete(
            (names, failure) -> {
              calls.release();
              if (failure == null) {
                unanswered = null;
                recordProvided(request, names);
              } else if (cause(failure) instanceof CloudClient.RefusedException refused
                  && refused.isOutOfCapacity()) {
                unanswered = null;
                unavailableSince.put(offering, loop.now());
                LOG.info(
                    "scale out: no capacity, type={} zone={} spot={}",
                    offering.type().name(),
                    offering.zone(),
                    offering.isSpot());
              }
            });
  }

  private void recordProvided(Request request, List<String> names) {
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
    names.forEach(name -> expected.put(name, new Expected(offering, now)));
    if (names.size() < request.count) {
      unavailableSince.put(offering, now);
    }
  }

  private static Throwable cause(Throwable failure) {
    return failure instanceof CompletionException && failure.getCause() != null
        ? failure.getCause()
        : failure;
  }
}
