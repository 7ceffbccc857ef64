package io.cherryspool.sim.fakes;

import io.cherryspool.http.Endpoint;
import io.cherryspool.http.Reply;
import io.cherryspool.http.Request;
import io.cherryspool.http.RequestHandler;
import io.cherryspool.http.Transport;
import io.cherryspool.sim.time.VirtualTime;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * A node's connection to the state store, on which a test can hold, drop or replace individual
 * messages. All other messages take a millisecond in each direction.
 */
public final class ControlledTransport implements Transport {
  /**
   * The part of a request's target that identifies a read; {@link #WATCH} and {@link #COMMIT}
   * identify watches and transactions.
   */
  public static final String READ = "block_ms=0";

  public static final String WATCH = "block_ms=10000";
  public static final String COMMIT = "/commit";

  private static final Duration ONE_WAY_DELAY = Duration.ofMillis(1);

  private final VirtualTime time;
  private final RequestHandler stateStore;
  private final List<PlannedInterception> plannedInterceptions = new ArrayList<>();
  private final List<HeldMessage> heldMessages = new ArrayList<>();
  private final List<Request> sentRequests = new ArrayList<>();
  private boolean isUnavailable;

  /** What the transport does with an intercepted request or its reply. */
  public enum Interception {
    HOLD_REQUEST,
    HOLD_REPLY,
    DROP_REPLY,
    REPLACE_REPLY
  }

  private record PlannedInterception(String target, Interception interception, Reply replacement) {}

  private record HeldMessage(String target, Runnable message) {}

  public ControlledTransport(VirtualTime time, RequestHandler stateStore) {
    this.time = time;
    this.stateStore = stateStore;
  }

  /**
   * Intercepts the next request whose target contains the text. If this is called several times,
   * each call applies to one request, in order.
   */
  public void interceptNext(String target, Interception interception) {
    plannedInterceptions.add(new PlannedInterception(target, interception, null));
  }

  /**
   * Holds this reply for the next request whose target contains the text, until it is released. The
   * request itself does not reach the state store.
   */
  public void replaceNextReply(String target, int status, String body) {
    Reply replacement = Reply.json(status, body.getBytes(StandardCharsets.UTF_8));
    plannedInterceptions.add(
        new PlannedInterception(target, Interception.REPLACE_REPLY, replacement));
  }

  /** Sets whether all requests from now on get a 503 reply and are not executed. */
  public void setUnavailable(boolean value) {
    isUnavailable = value;
  }

  /** Releases the oldest held message of the requests whose target contains the text. */
  public void release(String target) {
    release(heldMessages(target).get(0));
  }

  /** Releases the newest held message of the requests whose target contains the text. */
  public void releaseLast(String target) {
    List<HeldMessage> matchingMessages = heldMessages(target);
    release(matchingMessages.get(matchingMessages.size() - 1));
  }

  private List<HeldMessage> heldMessages(String target) {
    return heldMessages.stream().filter(item -> item.target.contains(target)).toList();
  }

  private void release(HeldMessage item) {
    heldMessages.remove(item);
    item.message.run();
  }

  /** Returns the number of sent requests whose target contains the text. */
  public long sentCount(String target) {
    return sentRequests.stream().filter(request -> request.target().contains(target)).count();
  }

  @Override
  public CompletableFuture<Reply> send(Endpoint to, Request request, Duration deadline) {
    CompletableFuture<Reply> result = new CompletableFuture<>();
    time.schedule(
        deadline,
        () -> result.completeExceptionally(new IOException("no response within the deadline")));
    sentRequests.add(request);
    if (isUnavailable) {
      Reply refusal = Reply.json(503, new byte[0]);
      time.schedule(ONE_WAY_DELAY.multipliedBy(2), () -> result.complete(refusal));
      return result;
    }
    PlannedInterception plan = takePlannedInterception(request);
    Runnable delivery = () -> deliver(request, plan, result);
    if (plan != null && plan.interception == Interception.HOLD_REQUEST) {
      heldMessages.add(new HeldMessage(request.target(), delivery));
    } else {
      time.schedule(ONE_WAY_DELAY, delivery);
    }
    return result;
  }

  private PlannedInterception takePlannedInterception(Request request) {
    for (Iterator<PlannedInterception> each = plannedInterceptions.iterator(); each.hasNext(); ) {
      PlannedInterception plan = each.next();
      if (request.target().contains(plan.target)) {
        each.remove();
        return plan;
      }
    }
    return null;
  }

  private void deliver(Request request, PlannedInterception plan, CompletableFuture<Reply> result) {
    if (plan != null && plan.interception == Interception.REPLACE_REPLY) {
      heldMessages.add(new HeldMessage(request.target(), () -> result.complete(plan.replacement)));
      return;
    }
    stateStore
        .handle(request)
        .thenAccept(
            reply -> {
              if (plan != null && plan.interception == Interception.HOLD_REPLY) {
                heldMessages.add(new HeldMessage(request.target(), () -> result.complete(reply)));
              } else if (plan == null || plan.interception != Interception.DROP_REPLY) {
                time.schedule(ONE_WAY_DELAY, () -> result.complete(reply));
              }
            });
  }
}
