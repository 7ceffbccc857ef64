package io.cherryspool.controller;

import io.cherryspool.cloud.CloudClient;
import io.cherryspool.duty.Duty;
import io.cherryspool.duty.EventLoop;
import io.cherryspool.model.MachineType;
import io.cherryspool.model.Order;
import io.cherryspool.model.Report;
import io.cherryspool.model.Team;
import io.cherryspool.model.Token;
import io.cherryspool.store.Replica;
import io.cherryspool.wire.WorkerWire;
import io.cherryspool.worker.WorkerClient;
import java.time.Duration;
import java.time.Instant;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.LongConsumer;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One term of this node as leader: rebuilds ownership, then runs rounds, until it is stopped. All
 * its memory goes with it; the next leader starts from the records and the workers' reports.
 */
final class Reign implements Duty {
  private static final Logger LOG = LoggerFactory.getLogger(Reign.class);

  /** A live worker answers a call within milliseconds; a lost packet costs some hundred. */
  private static final Duration SILENCE = Duration.ofMillis(1200);

  private final EventLoop loop;
  private final Replica replica;
  private final WorkerClient workers;
  private final Timings timings;
  private final Tokens tokens;
  private final long term;
  private final Fleet fleet = new Fleet();
  private final Stops stops = new Stops();
  private final Orders orders;
  private final Pusher pusher;
  private final Rounds rounds;
  private final Rental rental;
  private final LongConsumer higherTerm;
  private final Authority authority;
  private final Duration started;
  private Duration listed;
  private final Set<String> inspected = new HashSet<>();
  private boolean placing;
  private boolean stopped;
  private EventLoop.Timer timer;

  Reign(
      EventLoop loop,
      Replica replica,
      WorkerClient workers,
      CloudClient cloud,
      RoundWriter writer,
      Rounds.Limits limits,
      RentalLimits rentalLimits,
      Cluster cluster,
      Timings timings,
      long term,
      LongConsumer higherTerm) {
    this.loop = loop;
    this.replica = replica;
    this.workers = workers;
    this.timings = timings;
    this.term = term;
    this.higherTerm = higherTerm;
    this.authority = cluster.authority();
    this.started = loop.now();
    this.tokens = new Tokens(term);
    this.orders = new Orders(stops, tokens);
    this.pusher = new Pusher(loop, workers, tokens, timings.workerCall(), this::ingest);
    Judge judge = new Judge(timings, tokens, stops, started);
    this.rounds =
        new Rounds(
            loop,
            replica,
            writer,
            fleet,
            judge,
            stops,
            tokens,
            cluster.teams(),
            cluster.catalog(),
            limits,
            cluster.wall(),
            this::pushAll);
    this.rental =
        new Rental(
            loop,
            cloud,
            fleet,
            replica,
            rounds,
            cluster.catalog(),
            timings,
            rentalLimits.cloudRps(),
            rentalLimits.listLag(),
            rentalLimits.idleKeep(),
            "cs-" + term + "-",
            cluster.authority().sole(),
            this::inspectListed);
  }

  /** What does not change with the term. */
  record Cluster(
      Authority authority,
      Map<String, Team> teams,
      Supplier<List<MachineType>> catalog,
      Supplier<Instant> wall) {}

  /** What the leader may still do: {@code acts} for workers, {@code sole} for the cloud. */
  record Authority(BooleanSupplier acts, BooleanSupplier sole) {}

  /** The cloud's limits and how long idle machines are kept. */
  record RentalLimits(double cloudRps, Duration listLag, Duration idleKeep) {}

  @Override
  public void start() {
    LOG.info("leading in term {}; rebuilding ownership", term);
    rounds.start();
    rental.start();
    tick();
  }

  @Override
  public void stop() {
    stopped = true;
    LOG.info("no longer leading in term {}", term);
    rounds.stop();
    rental.stop();
    timer.cancel();
  }

  long term() {
    return term;
  }

  Fleet fleet() {
    return fleet;
  }

  /** The records changed: a new job, a cancel, this term's own commits. */
  void recordsChanged() {
    rounds.request();
  }

  /** Answers a report with the current token and the committed orders. */
  byte[] report(Report report) {
    ingest(report);
    MachineState machine = fleet.get(report.machine());
    if (machine == null || machine.gone || machine.latest == null) {
      return WorkerWire.reply(tokens.current(), List.of());
    }
    machine.answered = loop.now();
    if (report.session() != machine.latest.session()) {
      return WorkerWire.reply(tokens.current(), List.of());
    }
    List<Order> list = orders.of(machine, Ownership.of(replica).on(machine.name));
    long token = tokens.current();
    Pusher.noteStarts(machine, list, token);
    return WorkerWire.reply(token, list);
  }

  private void ingest(Report report) {
    if (stopped) {
      return;
    }
    if (Token.term(report.token()) > term) {
      higherTerm.accept(Token.term(report.token()));
      return;
    }
    MachineState known = fleet.get(report.machine());
    Report before = known == null ? null : known.latest;
    MachineState machine = fleet.accept(report, loop.now());
    if (machine == null) {
      return;
    }
    boolean news =
        before == null
            || !before.tasks().equals(report.tasks())
            || before.session() != report.session()
            || before.token() != report.token()
            || (before.notice() == null) != (report.notice() == null);
    if (news && machine.latest == report) {
      rounds.request();
      if (report.notice() != null && (before == null || before.notice() == null)) {
        LOG.info("machine {} will be taken in {} s", machine.name, report.notice().toSeconds());
        drain(machine);
      }
    }
  }

  /** Saves what can be saved on a machine that goes; the rest may still finish in time. */
  private void drain(MachineState machine) {
    for (Ownership.Owned owned : Ownership.of(replica).on(machine.name)) {
      Duration save = owned.entry().job().save();
      boolean saves = !owned.entry().job().checkpoint().isZero();
      if (saves && save.compareTo(machine.latest.notice()) < 0) {
        stops.add(owned.id(), owned.attempt().number(), machine.latest.notice());
      }
    }
    pushAll();
  }

  private void pushAll() {
    if (stopped || !authority.acts().getAsBoolean()) {
      return;
    }
    Ownership ownership = Ownership.of(replica);
    for (MachineState machine : fleet.all()) {
      if (machine.latest != null && !machine.gone) {
        pusher.push(machine, orders.of(machine, ownership.on(machine.name)));
      }
    }
  }

  private void tick() {
    timer = loop.schedule(Duration.ofMillis(placing ? 250 : 100), this::tick);
    if (!placing) {
      checkRebuilt();
    }
    pushAll();
  }

  /**
   * Placing waits for every live worker's report. A listed worker that has neither reported nor
   * answered a call within the silence limit does not count as live; without a list the wait is two
   * reports' time. What the others own stays owned until its end is proved.
   */
  private void checkRebuilt() {
    Duration now = loop.now();
    boolean all = listed != null;
    for (MachineState machine : fleet.all()) {
      all &= machine.gone || machine.heard != null;
    }
    for (String name : Ownership.of(replica).machines()) {
      all &= fleet.isGone(name) || fleet.hasHeard(name);
    }
    Duration limit =
        listed == null ? started.plus(timings.report().multipliedBy(2)) : listed.plus(SILENCE);
    if (all || now.compareTo(limit) > 0) {
      placing = true;
      LOG.info(
          "ownership rebuilt from {} machines after {} ms, {}",
          fleet.all().size(),
          now.minus(started).toMillis(),
          all ? "all heard" : "some not heard");
      rounds.allowPlacing();
    }
  }

  /** Calls listed machines that have not reported yet, so that take-over need not wait for them. */
  private void inspectListed() {
    listed = listed == null ? loop.now() : listed;
    for (MachineState machine : fleet.all()) {
      if (machine.endpoint != null && machine.heard == null && inspected.add(machine.name)) {
        workers
            .inspect(machine.endpoint)
            .whenComplete(
                (report, failure) -> {
                  if (failure == null && !stopped) {
                    ingest(report);
                    fence(machine);
                  }
                });
      }
    }
  }

  private void fence(MachineState machine) {
    if (machine.latest != null && machine.latest.token() < tokens.current()) {
      pusher.fence(machine, orders.of(machine, Ownership.of(replica).on(machine.name)));
    }
  }
}
