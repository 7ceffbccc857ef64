package io.cherryspool.controller.provisioning;

import io.cherryspool.cloud.CloudClient;
import io.cherryspool.controller.fleet.Fleet;
import io.cherryspool.controller.fleet.FleetPermissions;
import io.cherryspool.controller.fleet.MachineState;
import io.cherryspool.controller.ownership.Ownership;
import io.cherryspool.controller.rounds.Adoption;
import io.cherryspool.controller.rounds.DemandEstimator;
import io.cherryspool.controller.rounds.SchedulingLoop;
import io.cherryspool.lifecycle.EventLoop;
import io.cherryspool.lifecycle.Lifecycle;
import io.cherryspool.model.Durations;
import io.cherryspool.model.Instance;
import io.cherryspool.model.MachineType;
import io.cherryspool.reachability.LocalHealth;
import io.cherryspool.reachability.MachineEvictionRule;
import io.cherryspool.scheduler.ScalingPlan;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletionException;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Provisions machines for the leader: lists, rents and returns them, one call at a time. */
public final class Provisioner implements Lifecycle {
  /** Steps that find nothing to do take at most about one part in so many of the processor. */
  private static final int COST_SHARE = 40;

  /** However long a step took, the next one comes after this. */
  private static final Duration MAX_PAUSE = Duration.ofSeconds(2);

  private static final Logger LOG = LoggerFactory.getLogger(Provisioner.class);
  private static final int MOST_PER_REQUEST = 50;
  private static final int MOST_PER_DELETE = 100;
  private static final Duration STANDSTILL = Duration.ofMillis(1500);
  private static final Duration SOLD_OUT = Duration.ofSeconds(15);

  private final EventLoop loop;
  private final CloudClient cloud;
  private final Fleet fleet;
  private final Ownership ownership;
  private final SchedulingLoop rounds;
  private final DemandEstimator workload;
  private final Supplier<List<MachineType>> catalog;
  private final Duration gap;
  private final Duration listLag;
  private final Duration idleKeep;
  private final Adoption adoption;
  private final String prefix;
  private final BooleanSupplier sole;
  private final FleetPermissions links;
  private final LocalHealth health = new LocalHealth(STANDSTILL);
  private final Runnable listedMachines;
  private final Map<String, Instance> list = new HashMap<>();
  private final Map<String, Incoming> incoming = new HashMap<>();
  private final Map<ScalingPlan.Offering, Duration> soldOut = new HashMap<>();
  private final Set<String> doomed = new LinkedHashSet<>();
  private Request repeat;
  private int counter;
  private boolean busy;
  private boolean listRead;

  /** When the reading of the last whole list began, null before the first. */
  private Duration listTaken;

  private Duration listSince;
  private EventLoop.Timer timer;

  /** A machine rented in this term that has not reported yet. */
  private record Incoming(ScalingPlan.Offering offer, Duration since) {}

  /** A rental whose answer is not known; it goes again under the same name. */
  private record Request(String name, ScalingPlan.Offering offer, int count) {}

  public Provisioner(
      EventLoop loop,
      CloudClient cloud,
      Fleet fleet,
      Ownership ownership,
      SchedulingLoop rounds,
      DemandEstimator workload,
      Supplier<List<MachineType>> catalog,
      double cloudRps,
      Duration listLag,
      Duration idleKeep,
      Adoption adoption,
      String prefix,
      BooleanSupplier sole,
      FleetPermissions links,
      Runnable listed) {
    this.loop = loop;
    this.cloud = cloud;
    this.fleet = fleet;
    this.ownership = ownership;
    this.rounds = rounds;
    this.workload = workload;
    this.catalog = catalog;
    this.gap = Duration.ofNanos((long) (1.5e9 / cloudRps));
    this.listLag = listLag;
    this.idleKeep = idleKeep;
    this.adoption = adoption;
    this.prefix = prefix;
    this.sole = sole;
    this.links = links;
    this.listedMachines = listed;
  }

  @Override
  public void start() {
    step();
  }

  @Override
  public void stop() {
    busy = true;
    if (timer != null) {
      timer.cancel();
      timer = null;
    }
  }

  private void step() {
    Duration begun = loop.now();
    // What came while this node stood still, or was far behind, waits in its sockets.
    health.recordStep(begun, gap);
    timer = loop.schedule(gap, this::step);
    act();
    Duration pause = Durations.multiply(loop.now().minus(begun), COST_SHARE);
    // After a call to the cloud the next one may follow. The timer is gone if it was stopped
    // meanwhile.
    if (timer != null && !busy && pause.compareTo(gap) > 0) {
      timer.cancel();
      Duration next = pause.compareTo(MAX_PAUSE) < 0 ? pause : MAX_PAUSE;
      health.postpone(loop.now(), next);
      timer = loop.schedule(next, this::step);
    }
  }

  private void act() {
    // A leader that is cut off would take workers that went over to its successor for silent ones,
    // and delete their machines.
    if (busy || !sole.getAsBoolean() || !links.mayPlace().getAsBoolean()) {
      return;
    }
    Duration now = loop.now();
    if (listSince == null || now.minus(listSince).compareTo(Duration.ofSeconds(3)) > 0) {
      listSince = now;
      readList(null, new HashMap<>());
      return;
    }
    if (!listRead) {
      return;
    }
    condemn(now);
    if (!doomed.isEmpty()) {
      delete();
    } else if (repeat != null) {
      rent(repeat);
    } else if (!adoption.isOpen() && links.mayScale().getAsBoolean()) {
      // Until it is known what runs, what is needed besides is not known either.
      plan(now);
    }
  }

  /** Whether the whole list was read at this moment or later. */
  public boolean isListReadSince(Duration moment) {
    return listTaken != null && listTaken.compareTo(moment) >= 0;
  }

  /** The machines that the cloud last listed and that may run tasks. */
  public Set<String> listedMachines() {
    Set<String> names = new HashSet<>();
    for (Instance item : list.values()) {
      if (item.status() != Instance.Status.FAILED) {
        names.add(item.name());
      }
    }
    return names;
  }

  /** Whether the cloud lists the machine. */
  public boolean isListed(String machine) {
    return list.containsKey(machine);
  }

  private void readList(String after, Map<String, Instance> found) {
    busy = true;
    cloud
        .listInstances(after)
        .whenComplete(
            (page, failure) -> {
              busy = timer == null;
              if (failure != null || busy) {
                LOG.debug("listing machines failed: {}", String.valueOf(failure));
                return;
              }
              page.instances().forEach(item -> found.put(item.name(), item));
              if (page.hasMore() && !page.instances().isEmpty()) {
                readList(page.instances().get(page.instances().size() - 1).name(), found);
              } else {
                take(found);
              }
            });
  }

  private void take(Map<String, Instance> found) {
    listRead = true;
    listTaken = listSince;
    list.clear();
    list.putAll(found);
    Duration now = loop.now();
    for (Instance item : found.values()) {
      if (!fleet.isDeleted(item.name()) && item.status() == Instance.Status.RUNNING) {
        fleet.register(item.name(), item.address(), item.type(), item.zone(), item.isSpot(), now);
      }
    }
    listedMachines.run();
  }

  /** Decides which machines to delete, and only for reasons that hold whatever a late list says. */
  private void condemn(Duration now) {
    for (Instance item : list.values()) {
      if (fleet.isDeleted(item.name())) {
        continue;
      }
      if (item.status() == Instance.Status.FAILED) {
        doom(item.name(), "it has failed");
      } else if (item.status() == Instance.Status.BOOTING
          && !fleet.hasSentHeartbeat(item.name())
          && item.age().compareTo(bootLimit(item.type())) > 0) {
        doom(item.name(), "it has been booting for " + item.age().toSeconds() + " s");
      }
    }
    Duration listening = health.steadyFor(now);
    for (MachineState machine : fleet.all()) {
      if (machine.isDeleted()) {
        continue;
      }
      boolean idle =
          ownership.attemptsOn(machine.name()).isEmpty() && !adoption.hasUnknownUsage(machine);
      machine.setIdle(idle, now);
      Duration silentFor = now.minus(machine.lastSeenAt());
      Optional<MachineEvictionRule.Fault> fault =
          links.evictionRule().judge(signs(machine, silentFor, !idle, now), listening);
      if (fault.isPresent()) {
        doom(
            machine.name(),
            fault.get() == MachineEvictionRule.Fault.NOT_RECEIVING
                ? "it reports and does not take in what it is told"
                : "it has been silent for " + silentFor.toSeconds() + " s");
      } else if (machine.history().isFaulty()) {
        doom(machine.name(), "tasks of several tries fail on it");
      }
    }
  }

  private MachineEvictionRule.Observation signs(
      MachineState machine, Duration silentFor, boolean owns, Duration now) {
    return new MachineEvictionRule.Observation(
        silentFor,
        machine.contact().notReceivingFor(now),
        owns,
        machine.contact().isUnresponsive(),
        list.containsKey(machine.name()) && links.isZoneEvictionSuspended().test(machine.zone()));
  }

  private Duration bootLimit(String type) {
    List<MachineType> types = catalog.get();
    if (types != null) {
      for (MachineType item : types) {
        if (item.name().equals(type)) {
          return Durations.multiply(item.bootTime(), 3).plus(Durations.multiply(listLag, 2));
        }
      }
    }
    return Duration.ofMinutes(5);
  }

  private void doom(String name, String why) {
    if (doomed.add(name)) {
      LOG.info("deleting {}: {}", name, why);
      MachineState machine = fleet.get(name);
      if (machine != null) {
        machine.markForDeletion();
      }
    }
  }

  private void delete() {
    List<String> names = new ArrayList<>(doomed);
    List<String> batch = names.subList(0, Math.min(names.size(), MOST_PER_DELETE));
    busy = true;
    cloud
        .deleteInstances(batch)
        .whenComplete(
            (nothing, failure) -> {
              busy = timer == null;
              if (failure != null) {
                LOG.debug("deleting failed, it goes again: {}", failure.toString());
                return;
              }
              Duration now = loop.now();
              for (String name : batch) {
                doomed.remove(name);
                incoming.remove(name);
                fleet.markDeleted(fleet.register(name, null, "", "", false, now));
              }
              rounds.requestRound();
            });
  }

  private void plan(Duration now) {
    if (catalog.get() == null) {
      return;
    }
    soldOut.values().removeIf(at -> now.minus(at).compareTo(SOLD_OUT) > 0);
    fleet.removeDeleted(ownership);
    ScalingPlan.Decision decision =
        ScalingPlan.decide(
            new ScalingPlan.FleetView(
                workload.now(),
                rounds.lastPlan().unschedulable(),
                rounds.lastPlan().relocatable(),
                coming(),
                up(now),
                workload.estimateLoads(),
                catalog.get(),
                soldOut.keySet(),
                idleKeep));
    for (MachineState machine : fleet.all()) {
      machine.setCordoned(decision.draining().contains(machine.name()));
    }
    if (!decision.scaleOut().isEmpty()) {
      Map.Entry<ScalingPlan.Offering, Integer> first =
          decision.scaleOut().entrySet().iterator().next();
      counter++;
      rent(
          new Request(
              prefix + counter, first.getKey(), Math.min(first.getValue(), MOST_PER_REQUEST)));
    } else {
      decision.scaleIn().forEach(name -> doom(name, "it has been idle"));
    }
  }

  /** Machines on their way: rented in this term and not heard yet, or listed as booting. */
  private List<ScalingPlan.Offering> coming() {
    Map<String, MachineType> types = types();
    Duration now = loop.now();
    Duration unlisted = Durations.multiply(listLag, 4);
    incoming
        .entrySet()
        .removeIf(
            entry -> {
              boolean lost =
                  !list.containsKey(entry.getKey())
                      && now.minus(entry.getValue().since).compareTo(unlisted) > 0;
              return fleet.hasSentHeartbeat(entry.getKey())
                  || lost
                  || fleet.isDeleted(entry.getKey());
            });
    List<ScalingPlan.Offering> result = new ArrayList<>();
    incoming.values().forEach(item -> result.add(item.offer));
    for (Instance item : list.values()) {
      if (item.status() == Instance.Status.BOOTING
          && !fleet.hasSentHeartbeat(item.name())
          && !incoming.containsKey(item.name())
          && !fleet.isDeleted(item.name())
          && types.containsKey(item.type())) {
        result.add(new ScalingPlan.Offering(types.get(item.type()), item.zone(), item.isSpot()));
      }
    }
    return result;
  }

  private Map<String, MachineType> types() {
    Map<String, MachineType> types = new HashMap<>();
    catalog.get().forEach(type -> types.put(type.name(), type));
    return types;
  }

  private List<ScalingPlan.ActiveMachine> up(Duration now) {
    Map<String, MachineType> types = types();
    List<ScalingPlan.ActiveMachine> result = new ArrayList<>();
    for (MachineState machine : fleet.all()) {
      MachineType type = types.get(machine.type());
      if (type == null
          || machine.isDeleted()
          || machine.isMarkedForDeletion()
          || !machine.hasHeartbeat()) {
        continue;
      }
      double used = 0;
      for (Ownership.OwnedTask owned : ownership.attemptsOn(machine.name())) {
        used += owned.entry().job().perTask().cpus();
      }
      result.add(
          new ScalingPlan.ActiveMachine(
              machine.name(),
              new ScalingPlan.Offering(type, machine.zone(), machine.isSpot()),
              used,
              machine.idleFor(now).orElse(null)));
    }
    return result;
  }

  private void rent(Request request) {
    busy = true;
    repeat = request;
    ScalingPlan.Offering offer = request.offer;
    cloud
        .requestInstances(
            request.name, offer.type().name(), offer.zone(), offer.isSpot(), request.count)
        .whenComplete(
            (names, failure) -> {
              busy = timer == null;
              if (failure == null) {
                repeat = null;
                rented(request, names);
              } else if (cause(failure) instanceof CloudClient.RefusedException refused
                  && refused.isOutOfCapacity()) {
                repeat = null;
                soldOut.put(offer, loop.now());
                LOG.info(
                    "no capacity for {} in {}, spot {}",
                    offer.type().name(),
                    offer.zone(),
                    offer.isSpot());
              }
            });
  }

  private void rented(Request request, List<String> names) {
    ScalingPlan.Offering offer = request.offer;
    LOG.info(
        "rented {} of {} {} in {}, spot {}, as {}",
        names.size(),
        request.count,
        offer.type().name(),
        offer.zone(),
        offer.isSpot(),
        request.name);
    Duration now = loop.now();
    names.forEach(name -> incoming.put(name, new Incoming(offer, now)));
    if (names.size() < request.count) {
      soldOut.put(offer, now);
    }
  }

  private static Throwable cause(Throwable failure) {
    return failure instanceof CompletionException && failure.getCause() != null
        ? failure.getCause()
        : failure;
  }
}
