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
 * Simulates the network between hosts, with random latency and a few lost replies. A cut between
 * hosts or around a zone holds messages until it ends, even beyond the sender's timeout. A host may
 * receive nothing while its own messages arrive, or accept connections but open none. Worker
 * heartbeats may arrive again later, or be replayed, and direct commands may arrive late. Each of
 * the {@link #linkFaults} is one-way.
 */
public final class SimulatedNetwork {
  private static final double LOST_REPLY_PROBABILITY = 0.002;

  private final VirtualTime time;
  private final RandomGenerator random;
  private final UnaryOperator<String> zoneOf;
  private final Map<Endpoint, Listener> listeners = new HashMap<>();
  private final Set<String> hostsWithoutInbound = new HashSet<>();
  private final Set<String> hostsWithoutOutbound = new HashSet<>();
  private final Set<String> cutHostPairs = new HashSet<>();
  private final Set<String> rejectedDirections = new HashSet<>();
  private final Set<String> cutZones = new HashSet<>();
  private final LinkFaults linkFaults;
  private final HeartbeatCopies heartbeatCopies;
  private final CommandDelays commandDelays = new CommandDelays();
  private int maxExtraDelayMs;
  private final Map<String, List<Runnable>> heldMessages = new HashMap<>();

  /** The request handler that listens at an address, and the inbox of its process. */
  private record Listener(RequestHandler handler, ProcessInbox inbox) {}

  /** Creates a network; {@code zoneOf} returns the zone of a host, and "" if it is in no zone. */
  public SimulatedNetwork(VirtualTime time, RandomGenerator random, UnaryOperator<String> zoneOf) {
    this.time = time;
    this.linkFaults = new LinkFaults(time);
    this.random = random;
    this.heartbeatCopies = new HeartbeatCopies(time, random, this::redeliver);
    this.zoneOf = zoneOf;
  }

  public void listen(Endpoint address, RequestHandler handler) {
    listen(address, handler, ProcessInbox.alwaysOpen());
  }

  public void listen(Endpoint address, RequestHandler handler, ProcessInbox inbox) {
    listeners.put(address, new Listener(handler, inbox));
  }

  /** Stops listening at the address. Requests to it fail. */
  public void close(Endpoint address) {
    listeners.remove(address);
  }

  /** Returns the faults of single directions between two hosts. */
  public LinkFaults linkFaults() {
    return linkFaults;
  }

  /** Returns the delays of direct commands to workers. */
  public CommandDelays commandDelays() {
    return commandDelays;
  }

  /** Holds the messages between the two hosts for the given duration. */
  public void cut(String a, String b, Duration duration) {
    String pair = pairKey(a, b);
    if (cutHostPairs.add(pair)) {
      time.schedule(duration, () -> endFault(cutHostPairs, pair));
    }
  }

  /** Answers requests from one host to the other with 503 and holds replies to earlier requests. */
  public void rejectRequests(String from, String to, Duration duration) {
    String direction = from + ">" + to;
    if (rejectedDirections.add(direction)) {
      time.schedule(duration, () -> endFault(rejectedDirections, direction));
    }
  }

  /** Holds the messages between the zone and all hosts outside it for the given duration. */
  public void cutZone(String zone, Duration duration) {
    if (cutZones.add(zone)) {
      time.schedule(duration, () -> endFault(cutZones, zone));
    }
  }

  private void endFault(Set<String> activeFaults, String key) {
    activeFaults.remove(key);
    List<Runnable> messages = heldMessages.remove(key);
    if (messages != null) {
      messages.forEach(Runnable::run);
    }
  }

  /** Returns the additional latency of a datagram between two hosts; empty if it is lost. */
  public Optional<Duration> datagramDelay(String from, String to) {
    Optional<LinkFaults.Mode> mode = linkFaults.mode(from, to);
    boolean isDelayed = mode.filter(LinkFaults.Mode.DELAY::equals).isPresent();
    if (findCutKey(from, to) != null || (mode.isPresent() && !isDelayed)) {
      return Optional.empty();
    }
    return Optional.of(isDelayed ? LinkFaults.DELAY : Duration.ZERO);
  }

  /** Returns the key of the cut between the two hosts; null if there is none. */
  private String findCutKey(String a, String b) {
    String pair = pairKey(a, b);
    if (cutHostPairs.contains(pair)) {
      return pair;
    }
    String zoneOfA = zoneOf.apply(a);
    String zoneOfB = zoneOf.apply(b);
    if (!zoneOfA.equals(zoneOfB)) {
      if (cutZones.contains(zoneOfA)) {
        return zoneOfA;
      }
      if (cutZones.contains(zoneOfB)) {
        return zoneOfB;
      }
    }
    return null;
  }

  /** Drops all messages to the host for the given duration. Messages that it sends arrive. */
  public void dropInbound(String host, Duration duration) {
    if (hostsWithoutInbound.add(host)) {
      time.schedule(duration, () -> hostsWithoutInbound.remove(host));
    }
  }

  /** Drops all requests of the host for the given duration. Other hosts can connect to it. */
  public void dropOutbound(String host, Duration duration) {
    if (hostsWithoutOutbound.add(host)) {
      time.schedule(duration, () -> hostsWithoutOutbound.remove(host));
    }
  }

  /** Sets the maximum of the random additional latency of each message; 0 for none. */
  public void setMaxExtraDelay(int millis) {
    maxExtraDelayMs = millis;
  }

  /** Sets whether some heartbeats arrive again up to 70 s later, which is longer than a lease. */
  public void setDuplicatingHeartbeats(boolean value) {
    heartbeatCopies.setDuplicating(value);
  }

  /** Starts to record worker heartbeats, up to a limit, for {@link #replayHeartbeats}. */
  public void recordHeartbeats() {
    heartbeatCopies.startRecording();
  }

  /** Delivers the recorded heartbeats to each of the controllers immediately, without latency. */
  public void replayHeartbeats(Iterable<Endpoint> controllers) {
    heartbeatCopies.replay(controllers);
  }

  /** Stops recording and discards the recorded heartbeats. */
  public void discardRecordedHeartbeats() {
    heartbeatCopies.discardRecorded();
  }

  private void redeliver(Endpoint to, Request request) {
    Listener listener = listeners.get(to);
    if (listener != null) {
      listener.inbox.deliver(() -> listener.handler.handle(request));
    }
  }

  /** Returns the transport of a process on the host; replies arrive through its inbox. */
  public Transport transportFrom(String host, ProcessInbox inbox) {
    return (to, request, deadline) -> {
      CompletableFuture<Reply> result = new CompletableFuture<>();
      time.schedule(deadline, () -> fail(result, inbox, "no reply within the deadline from " + to));
      if (hostsWithoutOutbound.contains(host)) {
        return result;
      }
      Optional<Duration> commandDelay = commandDelays.delayOf(to.host(), request);
      if (commandDelay.isPresent()) {
        time.schedule(commandDelay.get(), () -> redeliver(to, request));
        return result;
      }
      heartbeatCopies.recordOrDuplicate(to, request);
      if (isReset(host, to.host())) {
        send(host, host, () -> fail(result, inbox, "connection reset by " + to));
        return result;
      }
      send(host, to.host(), () -> deliver(host, to, request, result, inbox));
      return result;
    };
  }

  private void deliver(
      String from,
      Endpoint to,
      Request request,
      CompletableFuture<Reply> result,
      ProcessInbox inbox) {
    Listener listener = listeners.get(to);
    if (listener == null) {
      fail(result, inbox, "connection refused by " + to);
      return;
    }
    if (rejectedDirections.contains(from + ">" + to.host())) {
      Reply error = Reply.json(503, "{\"error\":\"trouble\"}".getBytes(StandardCharsets.UTF_8));
      send(to.host(), from, () -> inbox.deliver(() -> result.complete(error)));
      return;
    }
    listener.inbox.deliver(
        () ->
            listener
                .handler
                .handle(request)
                .thenAccept(
                    reply -> {
                      if (isReset(to.host(), from)) {
                        send(from, from, () -> fail(result, inbox, "connection reset by " + to));
                      } else if (random.nextDouble() >= LOST_REPLY_PROBABILITY) {
                        respond(from, to.host(), () -> inbox.deliver(() -> result.complete(reply)));
                      }
                    }));
  }

  private boolean isReset(String from, String to) {
    return linkFaults.mode(from, to).filter(LinkFaults.Mode.RESET::equals).isPresent();
  }

  private void respond(String from, String to, Runnable arrival) {
    if (rejectedDirections.contains(from + ">" + to)) {
      heldMessages
          .computeIfAbsent(from + ">" + to, key -> new ArrayList<>())
          .add(() -> send(to, from, arrival));
    } else {
      send(to, from, arrival);
    }
  }

  private static void fail(CompletableFuture<Reply> result, ProcessInbox inbox, String message) {
    inbox.deliver(() -> result.completeExceptionally(new IOException(message)));
  }

  private void send(String from, String to, Runnable arrival) {
    Duration delay =
        Duration.ofNanos(300_000 + random.nextLong(3_000_000 + maxExtraDelayMs * 1_000_000L));
    time.schedule(
        delay,
        () -> {
          if (hostsWithoutInbound.contains(to)) {
            return;
          }
          LinkFaults.Mode fault = linkFaults.mode(from, to).orElse(null);
          if (fault == LinkFaults.Mode.DROP || fault == LinkFaults.Mode.RESET) {
            return;
          }
          if (fault != null) {
            boolean isHeld = fault == LinkFaults.Mode.HOLD;
            time.schedule(isHeld ? linkFaults.remaining(from, to) : LinkFaults.DELAY, arrival);
            return;
          }
          String cutKey = findCutKey(from, to);
          if (cutKey != null) {
            heldMessages.computeIfAbsent(cutKey, key -> new ArrayList<>()).add(arrival);
          } else {
            arrival.run();
          }
        });
  }

  private static String pairKey(String a, String b) {
    return a.compareTo(b) < 0 ? a + "|" + b : b + "|" + a;
  }
}
