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
 * The simulated network. A cut between two hosts, or around a zone, holds requests and replies and
 * delivers them when it ends, whether or not the sender has given up. Now and then a reply is lost.
 * A host may receive nothing while what it sends arrives, or open no connection while others reach
 * it. Heartbeats of workers may arrive again, late, or be recorded and replayed. Single directions
 * between two hosts fail by {@link #linkFaults}.
 */
public final class SimulatedNetwork {
  private static final double LOST_REPLY_SHARE = 0.002;
  private static final double DUPLICATED_SHARE = 0.02;
  private static final int MAX_DUPLICATE_DELAY_MS = 70_000;
  private static final int MAX_RECORDED = 200;

  private final VirtualTime time;
  private final RandomGenerator random;
  private final UnaryOperator<String> zoneOf;
  private final Map<Endpoint, Host> hosts = new HashMap<>();
  private final Set<String> withoutInbound = new HashSet<>();
  private final Set<String> withoutOutbound = new HashSet<>();
  private final Set<String> cuts = new HashSet<>();
  private final Set<String> refused = new HashSet<>();
  private final Set<String> cutZones = new HashSet<>();
  private final LinkFaults linkFaults;
  private final List<Request> recorded = new ArrayList<>();
  private int maxExtraDelayMs;
  private boolean duplicating;
  private boolean recording;
  private final Map<String, List<Runnable>> held = new HashMap<>();

  /** What listens at an address, and the inbox of its process. */
  private record Host(RequestHandler handler, ProcessInbox inbox) {}

  /** The function answers the zone of a host, empty for what is in none. */
  public SimulatedNetwork(VirtualTime time, RandomGenerator random, UnaryOperator<String> zoneOf) {
    this.time = time;
    this.linkFaults = new LinkFaults(time);
    this.random = random;
    this.zoneOf = zoneOf;
  }

  public void listen(Endpoint at, RequestHandler handler) {
    listen(at, handler, ProcessInbox.alwaysOpen());
  }

  public void listen(Endpoint at, RequestHandler handler, ProcessInbox inbox) {
    hosts.put(at, new Host(handler, inbox));
  }

  /** Nothing listens at the address any more; requests to it fail. */
  public void close(Endpoint at) {
    hosts.remove(at);
  }

  /** Faults of single directions between two hosts. */
  public LinkFaults linkFaults() {
    return linkFaults;
  }

  /** Holds what the two hosts send each other for so long. */
  public void cut(String a, String b, Duration duration) {
    String pair = pair(a, b);
    if (cuts.add(pair)) {
      time.schedule(duration, () -> release(cuts, pair));
    }
  }

  /** Requests of the one host to the other are answered 503 for so long; open watches wait. */
  public void rejectRequests(String from, String to, Duration duration) {
    String way = from + ">" + to;
    if (refused.add(way)) {
      time.schedule(duration, () -> release(refused, way));
    }
  }

  /** Cuts the zone off from everything outside it for so long. */
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

  /** The extra delay of a datagram from host to host; empty if it is lost. */
  public Optional<Duration> datagramDelay(String from, String to) {
    Optional<LinkFaults.Mode> mode = linkFaults.mode(from, to);
    boolean delayed = mode.filter(LinkFaults.Mode.DELAY::equals).isPresent();
    if (cutBetween(from, to) != null || (mode.isPresent() && !delayed)) {
      return Optional.empty();
    }
    return Optional.of(delayed ? LinkFaults.DELAY : Duration.ZERO);
  }

  /** The cut that holds messages between the two hosts; null if there is none. */
  private String cutBetween(String a, String b) {
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

  /** Drops what is sent to the host for so long; what it sends arrives. */
  public void dropInbound(String host, Duration duration) {
    if (withoutInbound.add(host)) {
      time.schedule(duration, () -> withoutInbound.remove(host));
    }
  }

  /** The host opens no connection for so long; others reach it. */
  public void dropOutbound(String host, Duration duration) {
    if (withoutOutbound.add(host)) {
      time.schedule(duration, () -> withoutOutbound.remove(host));
    }
  }

  /** Each message is delayed by a random time of up to so much more; 0 for none. */
  public void setMaxExtraDelay(int millis) {
    maxExtraDelayMs = millis;
  }

  /** Whether some heartbeats arrive twice, the second time up to well over a lease later. */
  public void setDuplicatingHeartbeats(boolean on) {
    duplicating = on;
  }

  /** From now on heartbeats are recorded for {@link #replayHeartbeats}, up to a limit. */
  public void recordHeartbeats() {
    recording = true;
  }

  /** The recorded heartbeats reach all of these now, before anything sent from now on. */
  public void replayHeartbeats(Iterable<Endpoint> all) {
    for (Endpoint each : all) {
      for (Request request : List.copyOf(recorded)) {
        redeliver(each, request);
      }
    }
  }

  /** Stops recording, and discards what was recorded. */
  public void discardRecordedHeartbeats() {
    recorded.clear();
    recording = false;
  }

  private void redeliver(Endpoint to, Request request) {
    Host host = hosts.get(to);
    if (host != null) {
      host.inbox.deliver(() -> host.handler.handle(request));
    }
  }

  private void recordOrDuplicate(Endpoint to, Request request) {
    boolean report = request.path().equals("/v1/report");
    if (recording && report && recorded.size() < MAX_RECORDED) {
      recorded.add(request);
    }
    if (duplicating && report && random.nextDouble() < DUPLICATED_SHARE) {
      time.schedule(
          Duration.ofMillis(random.nextInt(MAX_DUPLICATE_DELAY_MS)), () -> redeliver(to, request));
    }
  }

  /** The sockets of a process on one host; replies reach it through its inbox. */
  public Transport transportFrom(String host, ProcessInbox inbox) {
    return (to, request, deadline) -> {
      CompletableFuture<Reply> result = new CompletableFuture<>();
      time.schedule(deadline, () -> fail(result, inbox, "no answer from " + to));
      if (withoutOutbound.contains(host)) {
        return result;
      }
      recordOrDuplicate(to, request);
      if (isReset(host, to.host())) {
        carry(host, host, () -> fail(result, inbox, "reset by " + to));
        return result;
      }
      carry(host, to.host(), () -> deliver(host, to, request, result, inbox));
      return result;
    };
  }

  private void deliver(
      String from,
      Endpoint to,
      Request request,
      CompletableFuture<Reply> result,
      ProcessInbox inbox) {
    Host host = hosts.get(to);
    if (host == null) {
      fail(result, inbox, "refused by " + to);
      return;
    }
    if (refused.contains(from + ">" + to.host())) {
      Reply trouble = Reply.json(503, "{\"error\":\"trouble\"}".getBytes(StandardCharsets.UTF_8));
      carry(to.host(), from, () -> inbox.deliver(() -> result.complete(trouble)));
      return;
    }
    host.inbox.deliver(
        () ->
            host.handler
                .handle(request)
                .thenAccept(
                    reply -> {
                      if (isReset(to.host(), from)) {
                        carry(from, from, () -> fail(result, inbox, "reset by " + to));
                      } else if (random.nextDouble() >= LOST_REPLY_SHARE) {
                        answer(from, to.host(), () -> inbox.deliver(() -> result.complete(reply)));
                      }
                    }));
  }

  private boolean isReset(String from, String to) {
    return linkFaults.mode(from, to).filter(LinkFaults.Mode.RESET::equals).isPresent();
  }

  private void answer(String from, String to, Runnable arrival) {
    if (refused.contains(from + ">" + to)) {
      held.computeIfAbsent(from + ">" + to, key -> new ArrayList<>())
          .add(() -> carry(to, from, arrival));
    } else {
      carry(to, from, arrival);
    }
  }

  private static void fail(CompletableFuture<Reply> result, ProcessInbox inbox, String why) {
    inbox.deliver(() -> result.completeExceptionally(new IOException(why)));
  }

  private void carry(String from, String to, Runnable arrival) {
    Duration delay =
        Duration.ofNanos(300_000 + random.nextLong(3_000_000 + maxExtraDelayMs * 1_000_000L));
    time.schedule(
        delay,
        () -> {
          if (withoutInbound.contains(to)) {
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
          String cutBetween = cutBetween(from, to);
          if (cutBetween != null) {
            held.computeIfAbsent(cutBetween, key -> new ArrayList<>()).add(arrival);
          } else {
            arrival.run();
          }
        });
  }

  private static String pair(String a, String b) {
    return a.compareTo(b) < 0 ? a + "|" + b : b + "|" + a;
  }
}
