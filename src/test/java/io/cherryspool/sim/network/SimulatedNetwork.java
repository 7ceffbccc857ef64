package io.cherryspool.sim.network;

import io.cherryspool.http.Endpoint;
import io.cherryspool.http.Reply;
import io.cherryspool.http.Request;
import io.cherryspool.http.RequestHandler;
import io.cherryspool.http.Transport;
import io.cherryspool.sim.time.ProcessInbox;
import io.cherryspool.sim.time.VirtualTime;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.UnaryOperator;
import java.util.random.RandomGenerator;

/**
 * The simulated network. A cut between two hosts holds requests and answers and delivers them when
 * it ends, whether or not the sender has given up; a zone may be cut off from everything outside it
 * in the same way. Now and then an answer is lost. A host may be deaf: what it sends arrives, and
 * nothing reaches it; or mute: it can't open connections, and others reach it. Copies of workers'
 * reports may come late, or be kept for the next leader. Single directions between two hosts fail
 * by {@link #linkFaults}.
 */
public final class SimulatedNetwork {
  private static final double LOST_ANSWER = 0.002;
  private static final double COPIED = 0.02;
  private static final int COPY_LATEST_MS = 70_000;
  private static final int MOST_KEPT = 200;

  private final VirtualTime time;
  private final RandomGenerator random;
  private final UnaryOperator<String> zoneOf;
  private final Map<Endpoint, Host> hosts = new HashMap<>();
  private final Set<String> deaf = new HashSet<>();
  private final Set<String> mute = new HashSet<>();
  private final Set<String> cuts = new HashSet<>();
  private final Set<String> refused = new HashSet<>();
  private final Set<String> cutZones = new HashSet<>();
  private final LinkFaults linkFaults;
  private final List<Request> kept = new ArrayList<>();
  private int slowMs;
  private boolean copies;
  private boolean keeping;
  private final Map<String, List<Runnable>> held = new HashMap<>();

  /** Who listens at an address, and how it is reached. */
  private record Host(RequestHandler handler, ProcessInbox gate) {}

  /**
   * @param zoneOf the zone of a host, empty for what no zone holds
   */
  public SimulatedNetwork(VirtualTime time, RandomGenerator random, UnaryOperator<String> zoneOf) {
    this.time = time;
    this.linkFaults = new LinkFaults(time);
    this.random = random;
    this.zoneOf = zoneOf;
  }

  public void listen(Endpoint at, RequestHandler handler) {
    listen(at, handler, ProcessInbox.alwaysOpen());
  }

  public void listen(Endpoint at, RequestHandler handler, ProcessInbox gate) {
    hosts.put(at, new Host(handler, gate));
  }

  public void close(Endpoint at) {
    hosts.remove(at);
  }

  /** Faults of single directions. */
  public LinkFaults linkFaults() {
    return linkFaults;
  }

  public void cut(String a, String b, Duration duration) {
    String pair = pair(a, b);
    if (cuts.add(pair)) {
      time.schedule(duration, () -> release(cuts, pair));
    }
  }

  /** What the one host asks of the other is answered 503 for so long; open watches wait. */
  public void refuseRequests(String from, String to, Duration duration) {
    String way = way(from, to);
    if (refused.add(way)) {
      time.schedule(duration, () -> release(refused, way));
    }
  }

  private static String way(String from, String to) {
    return from + ">" + to;
  }

  /** The zone reaches nothing outside it and is reached by nothing; inside, all goes on. */
  public void cutZone(String zone, Duration duration) {
    if (cutZones.add(zone)) {
      time.schedule(duration, () -> release(cutZones, zone));
    }
  }

  private void release(Set<String> from, String what) {
    from.remove(what);
    List<Runnable> late = held.remove(what);
    if (late != null) {
      late.forEach(Runnable::run);
    }
  }

  /** What a message that is worth nothing later takes from host to host; empty if it is lost. */
  public Optional<Duration> datagramDelay(String from, String to) {
    Optional<LinkFaults.Mode> mode = linkFaults.mode(from, to);
    boolean delayed = mode.filter(LinkFaults.Mode.DELAY::equals).isPresent();
    if (barrier(from, to) != null || mode.isPresent() && !delayed) {
      return Optional.empty();
    }
    return Optional.of(delayed ? LinkFaults.DELAY : Duration.ZERO);
  }

  /** The cut that holds what goes between the two hosts, or null. */
  private String barrier(String a, String b) {
    String pair = pair(a, b);
    if (cuts.contains(pair)) {
      return pair;
    }
    String one = zoneOf.apply(a);
    String other = zoneOf.apply(b);
    if (!one.equals(other)) {
      if (cutZones.contains(one)) {
        return one;
      }
      if (cutZones.contains(other)) {
        return other;
      }
    }
    return null;
  }

  /** Nothing reaches the host for so long, while its own messages arrive. */
  public void dropInbound(String host, Duration duration) {
    if (deaf.add(host)) {
      time.schedule(duration, () -> deaf.remove(host));
    }
  }

  /** The host opens no connection for so long, while others reach it. */
  public void mute(String host, Duration duration) {
    if (mute.add(host)) {
      time.schedule(duration, () -> mute.remove(host));
    }
  }

  /** Every message takes up to so much longer; 0 ends it. */
  public void setMaxExtraDelay(int millis) {
    slowMs = millis;
  }

  /** Whether copies of reports come, from at once to well over a lease later. */
  public void setDuplicatingHeartbeats(boolean on) {
    copies = on;
  }

  /** From now on a copy of some reports is kept for {@link #replayHeartbeats}. */
  public void recordHeartbeats() {
    keeping = true;
  }

  /** The copies kept reach all of these, before anything that is sent from now on. */
  public void replayHeartbeats(Iterable<Endpoint> all) {
    for (Endpoint each : all) {
      for (Request request : List.copyOf(kept)) {
        handOver(each, request);
      }
    }
  }

  /** Keeps no copies any more, and drops those that it kept. */
  public void discardRecordedHeartbeats() {
    kept.clear();
    keeping = false;
  }

  private void handOver(Endpoint to, Request request) {
    Host host = hosts.get(to);
    if (host != null) {
      host.gate.pass(() -> host.handler.handle(request));
    }
  }

  private void maybeCopy(Endpoint to, Request request) {
    boolean report = request.path().equals("/v1/report");
    if (keeping && report && kept.size() < MOST_KEPT) {
      kept.add(request);
    }
    if (copies && report && random.nextDouble() < COPIED) {
      time.schedule(Duration.ofMillis(random.nextInt(COPY_LATEST_MS)), () -> handOver(to, request));
    }
  }

  /** The sockets of one host; answers reach it only as its gate lets them. */
  public Transport from(String host, ProcessInbox gate) {
    return (to, request, deadline) -> {
      CompletableFuture<Reply> result = new CompletableFuture<>();
      time.schedule(deadline, () -> fail(result, gate, "no answer from " + to));
      if (mute.contains(host)) {
        return result;
      }
      maybeCopy(to, request);
      if (isReset(host, to.host())) {
        carry(host, host, () -> fail(result, gate, "reset by " + to));
        return result;
      }
      carry(host, to.host(), () -> deliver(host, to, request, result, gate));
      return result;
    };
  }

  private void deliver(
      String from,
      Endpoint to,
      Request request,
      CompletableFuture<Reply> result,
      ProcessInbox gate) {
    Host host = hosts.get(to);
    if (host == null) {
      fail(result, gate, "refused by " + to);
      return;
    }
    if (refused.contains(way(from, to.host()))) {
      Reply trouble = Reply.json(503, "{\"error\":\"trouble\"}".getBytes(StandardCharsets.UTF_8));
      carry(to.host(), from, () -> gate.pass(() -> result.complete(trouble)));
      return;
    }
    host.gate.pass(
        () ->
            host.handler
                .handle(request)
                .thenAccept(
                    reply -> {
                      if (isReset(to.host(), from)) {
                        carry(from, from, () -> fail(result, gate, "reset by " + to));
                      } else if (random.nextDouble() >= LOST_ANSWER) {
                        answer(from, to.host(), () -> gate.pass(() -> result.complete(reply)));
                      }
                    }));
  }

  private boolean isReset(String from, String to) {
    return linkFaults.mode(from, to).filter(LinkFaults.Mode.RESET::equals).isPresent();
  }

  private void answer(String from, String to, Runnable arrival) {
    if (refused.contains(way(from, to))) {
      held.computeIfAbsent(way(from, to), key -> new ArrayList<>())
          .add(() -> carry(to, from, arrival));
    } else {
      carry(to, from, arrival);
    }
  }

  private static void fail(CompletableFuture<Reply> result, ProcessInbox gate, String why) {
    gate.pass(() -> result.completeExceptionally(new IOException(why)));
  }

  private void carry(String from, String to, Runnable arrival) {
    Duration delay = Duration.ofNanos(300_000 + random.nextLong(3_000_000 + slowMs * 1_000_000L));
    time.schedule(
        delay,
        () -> {
          if (deaf.contains(to)) {
            return;
          }
          LinkFaults.Mode fault = linkFaults.mode(from, to).orElse(null);
          if (fault == LinkFaults.Mode.DROP || fault == LinkFaults.Mode.RESET) {
            return;
          }
          if (fault != null) {
            boolean held = fault == LinkFaults.Mode.HOLD;
            time.schedule(held ? linkFaults.remaining(from, to) : LinkFaults.DELAY, arrival);
            return;
          }
          String barrier = barrier(from, to);
          if (barrier != null) {
            held.computeIfAbsent(barrier, key -> new ArrayList<>()).add(arrival);
          } else {
            arrival.run();
          }
        });
  }

  private static String pair(String a, String b) {
    return a.compareTo(b) < 0 ? a + "|" + b : b + "|" + a;
  }
}
