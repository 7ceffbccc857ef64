package io.cherryspool.sim.network;

import io.cherryspool.http.Request;
import java.time.Duration;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.function.Supplier;

/**
 * Delays of direct commands to workers. The worker executes a delayed command once, when it
 * arrives, and the sender gets no reply.
 */
public final class CommandDelays {
  private Predicate<String> isAffected = host -> false;
  private Supplier<Duration> nextDelay = () -> Duration.ZERO;

  CommandDelays() {}

  /**
   * From now on delays the direct commands to some workers.
   *
   * @param hosts selects the hosts of these workers; called once for each command, so that it may
   *     also select a share of the commands
   * @param delays returns the delay of each of these commands
   */
  public void begin(Predicate<String> hosts, Supplier<Duration> delays) {
    isAffected = hosts;
    nextDelay = delays;
  }

  /** Delays no commands that are sent from now on. */
  public void end() {
    isAffected = host -> false;
  }

  /** Returns the delay of the request if it is a command that is delayed. */
  Optional<Duration> delayOf(String host, Request request) {
    return request.path().equals("/commands") && isAffected.test(host)
        ? Optional.of(nextDelay.get())
        : Optional.empty();
  }
}
