package io.cherryspool.scheduler;

import io.cherryspool.model.Job;
import io.cherryspool.model.MachineType;
import io.cherryspool.model.Resources;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
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
  private final Map<Offer, Integer> crowds = new HashMap<>();
  private final Map<Offer, Integer> rentals = new LinkedHashMap<>();

  private FleetPlan(View view) {
    this.view = view;
    for (Offer offer : view.incoming()) {
      bins.add(new Bin(offer));
      crowds.merge(offer, 1, Integer::sum);
    }
  }

  /** What to rent, by offer. */
  public static Map<Offer, Integer> rentals(View view) {
    FleetPlan plan = new FleetPlan(view);
    for (RoundPlan.Unplaced item : view.unplaced()) {
      plan.pack(item.job(), item.tasks());
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

    /** Takes as many of the tasks as fit, and returns how many. */
    int fill(Job job, int wanted) {
      int count = job.perTask().timesIn(free, wanted);
      free = count == 0 ? free : free.minus(job.perTask().times(count));
      return count;
    }
  }

  private void pack(Job job, int tasks) {
    int left = tasks;
    for (int i = 0; i < bins.size() && left > 0; i++) {
      Bin bin = bins.get(i);
      if (allows(job, bin.offer)) {
        left -= bin.fill(job, left);
      }
    }
    while (left > 0) {
      Offer best = cheapest(job);
      if (best == null) {
        return;
      }
      Bin bin = new Bin(best);
      left -= bin.fill(job, left);
      bins.add(bin);
      crowds.merge(best, 1, Integer::sum);
      rentals.merge(best, 1, Integer::sum);
    }
  }

  private Offer cheapest(Job job) {
    Offer best = null;
    double bestCost = Double.MAX_VALUE;
    for (MachineType type : view.catalog()) {
      int places = job.perTask().timesIn(type.size(), 1000);
      if (places == 0) {
        continue;
      }
      for (String zone : type.zones()) {
        for (boolean spot : new boolean[] {true, false}) {
          Offer offer = new Offer(type, zone, spot);
          if (allows(job, offer) && !view.soldOut().contains(offer)) {
            // The price of a task's place, with a little against crowding one zone.
            int crowd = crowds.getOrDefault(offer, 0);
            double cost = type.price(spot) / places * (1 + 0.001 * crowd);
            if (cost < bestCost) {
              best = offer;
              bestCost = cost;
            }
          }
        }
      }
    }
    return best;
  }

  private static boolean allows(Job job, Offer offer) {
    return Rules.allows(job, offer.type(), offer.zone(), offer.spot());
  }
}
