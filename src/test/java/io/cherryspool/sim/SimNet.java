package io.cherryspool.sim;

import io.cherryspool.http.Endpoint;
import io.cherryspool.http.Handler;
import io.cherryspool.http.Reply;
import io.cherryspool.http.Request;
import io.cherryspool.http.Transport;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import java.util.random.RandomGenerator;

/**
 * The simulated network. A cut between two hosts holds requests and answers and delivers them when
 * it ends, whether or not the sender has given up; now and then an answer is lost. A host may be
 * deaf: what it sends arrives, and nothing reaches it. Copies of workers' reports may come late.
 */
final class SimNet {
  private static final double LOST_ANSWER = 0.002;
  private static final double COPIED = 0.02;
  private static final int COPY_LATEST_MS = 70_000;

  private final VirtualTime time;
  private final RandomGenerator random;
  private final Map<Endpoint, Handler> hosts = new HashMap<>();
  private final Set<String> deaf = new HashSet<>();
  private final Set<String> cuts = new HashSet<>();
  private boolean copies;
  private final Map<String, List<Runnable>> held = new HashMap<>();

  SimNet(VirtualTime time, RandomGenerator random) {
    this.time = time;
    this.random = random;
  }

  void listen(Endpoint at, Handler handler) {
    hosts.put(at, handler);
  }

  void close(Endpoint at) {
    hosts.remove(at);
  }

  void cut(String a, String b, Duration duration) {
    String pair = pair(a, b);
    if (cuts.add(pair)) {
      time.schedule(
          duration,
          () -> {
            cuts.remove(pair);
            List<Runnable> late = held.remove(pair);
            if (late != null) {
              late.forEach(Runnable::run);
            }
          });
    }
  }

  /** Nothing reaches the host for so long, while its own messages arrive. */
  void deafen(String host, Duration duration) {
    if (deaf.add(host)) {
      time.schedule(duration, () -> deaf.remove(host));
    }
  }

  /** Whether copies of reports come, from at once to well over a lease later. */
  void copyReports(boolean on) {
    copies = on;
  }

  private void maybeCopy(Endpoint to, Request request) {
    if (copies && request.path().equals("/v1/report") && random.nextDouble() < COPIED) {
      time.schedule(
          Duration.ofMillis(random.nextInt(COPY_LATEST_MS)),
          () -> {
            Handler handler = hosts.get(to);
            if (handler != null) {
              handler.handle(request);
            }
          });
    }
  }

  /** The sockets of one host; answers reach it only while it is alive. */
  Transport from(String host, BooleanSupplier alive) {
    return (to, request, deadline) -> {
      CompletableFuture<Reply> result = new CompletableFuture<>();
      time.schedule(deadline, () -> fail(result, alive, "no answer from " + to));
      maybeCopy(to, request);
      carry(host, to.host(), () -> deliver(host, to, request, result, alive));
      return result;
    };
  }

  private void deliver(
      String host,
      Endpoint to,
      Request request,
      CompletableFuture<Reply> result,
      BooleanSupplier alive) {
    Handler handler = hosts.get(to);
    if (handler == null) {
      fail(result, alive, "refused by " + to);
      return;
    }
    handler
        .handle(request)
        .thenAccept(
            reply -> {
              if (random.nextDouble() >= LOST_ANSWER) {
                carry(
                    to.host(),
                    host,
                    () -> {
                      if (alive.getAsBoolean()) {
                        result.complete(reply);
                      }
                    });
              }
            });
  }

  private static void fail(CompletableFuture<Reply> result, BooleanSupplier alive, String why) {
    if (alive.getAsBoolean()) {
      result.completeExceptionally(new IOException(why));
    }
  }

  private void carry(String from, String to, Runnable arrival) {
    Duration delay = Duration.ofNanos(300_000 + random.nextLong(3_000_000));
    String pair = pair(from, to);
    time.schedule(
        delay,
        () -> {
          if (deaf.contains(to)) {
            return;
          }
          if (cuts.contains(pair)) {
            held.computeIfAbsent(pair, key -> new ArrayList<>()).add(arrival);
          } else {
            arrival.run();
          }
        });
  }

  private static String pair(String a, String b) {
    return a.compareTo(b) < 0 ? a + "|" + b : b + "|" + a;
  }
}
