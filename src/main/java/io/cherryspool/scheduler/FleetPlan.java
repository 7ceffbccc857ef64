package io.cherryspool.scheduler;

import io.cherryspool.model.Job;
import io.cherryspool.model.MachineType;
import io.cherryspool.model.Resources;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Sizes the fleet: rents the cheapest allowed machines for what found no room, after counting those
 * already on their way, and returns machines that have been idle for long enough.
 */
public final class FleetPlan {

  /** What the cloud sells: a type in a zone, ordinary or spot. */
  public record Offer(MachineType type, String zone, boolean spot) {}

  /** An idle machine. */
  public record Idle(String name, boolean spot, Duration idleFor) {}

  /** What the fleet is planned from. {@code soldOut} holds the offers refused a short while ago. */
  public record View(
      List<RoundPlan.Unplaced> unplaced,
      List<Offer> incoming,
      List<Idle> idle,
      List<MachineType> catalog,
      Set<Offer> soldOut,
      Duration idleKeep) {}

  private final View view;
  private final List<Bin> bins = new ArrayList<>();
  private final Map<Offer, Integer> rentals = new LinkedHashMap<>();

  private FleetPlan(View view) {
    this.view = view;
    view.incoming().forEach(offer -> bins.add(new Bin(offer)));
  }

  /** What to rent, by offer. */
  public static Map<Offer, Integer> rentals(View view) {
    FleetPlan plan = new FleetPlan(view);
    for (RoundPlan.Unplaced item : view.unplaced()) {
      for (int i = 0; i < item.tasks(); i++) {
        if (!plan.pack(item.job())) {
          break;
        }
      }
    }
    return plan.rentals;
  }

  /** Which idle machines to give back; ordinary ones, which cost more, after half the time. */
  public static List<String> returns(View view) {
    List<String> names = new ArrayList<>();
    for (Idle idle : view.idle()) {
      Duration keep = idle.spot() ? view.idleKeep() : view.idleKeep().dividedBy(2);
      if (idle.idleFor().compareTo(keep) >= 0) {
        names.add(idle.name());
      }
    }
    return names;
  }

  private static final class Bin {
    private final Offer offer;
    private Resources free;

    Bin(Offer offer) {
      this.offer = offer;
      this.free = offer.type().size();
    }
  }

  private boolean pack(Job job) {
    for (Bin bin : bins) {
      if (job.perTask().fitsIn(bin.free) && allows(job, bin.offer)) {
        bin.free = bin.free.minus(job.perTask());
        return true;
      }
    }
    Offer best = null;
    double bestCost = Double.MAX_VALUE;
    for (MachineType type : view.catalog()) {
      for (String zone : type.zones()) {
        for (boolean spot : new boolean[] {true, false}) {
          Offer offer = new Offer(type, zone, spot);
          if (!allows(job, offer) || view.soldOut().contains(offer)) {
            continue;
          }
          double cost = cost(job, offer);
          if (cost < bestCost) {
            best = offer;
            bestCost = cost;
          }
        }
      }
    }
    if (best == null) {
      return false;
    }
    Bin bin = new Bin(best);
    bin.free = bin.free.minus(job.perTask());
    bins.add(bin);
    rentals.merge(best, 1, Integer::sum);
    return true;
  }

  /** Price of a task's place, with a little against crowding one zone. */
  private double cost(Job job, Offer offer) {
    int places = 0;
    Resources room = offer.type().size();
    while (places < 1000 && job.perTask().fitsIn(room)) {
      room = room.minus(job.perTask());
      places++;
    }
    long crowd = bins.stream().filter(bin -> bin.offer.equals(offer)).count();
    return offer.type().price(offer.spot()) / places * (1 + 0.001 * crowd);
  }

  private static boolean allows(Job job, Offer offer) {
    return Rules.allows(job, offer.type(), offer.zone(), offer.spot());
  }
}
