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
 * One node's connection to the state store, on which a test decides the fate of single messages.
 * All others take a millisecond each way.
 */
public final class ControlledTransport implements Transport {
  /** What readings, watches and transactions have in their targets. */
  public static final String READ = "block_ms=0";

  public static final String WATCH = "block_ms=10000";
  public static final String COMMIT = "/commit";

  private static final Duration WAY = Duration.ofMillis(1);

  private final VirtualTime time;
  private final RequestHandler state;
  private final List<Plan> plans = new ArrayList<>();
  private final List<Held> held = new ArrayList<>();
  private final List<Request> sent = new ArrayList<>();
  private boolean refusing;

  /** What becomes of a message. */
  public enum Interception {
    HOLD_REQUEST,
    HOLD_REPLY,
    DROP_REPLY,
    REPLACE_REPLY
  }

  private record Plan(String target, Interception fate, Reply instead) {}

  private record Held(String target, Runnable message) {}

  public ControlledTransport(VirtualTime time, RequestHandler state) {
    this.time = time;
    this.state = state;
  }

  /** Decides on the next request with this in its target; several are taken in order. */
  public void interceptNext(String target, Interception fate) {
    plans.add(new Plan(target, fate, null));
  }

  /** The next such request gets this answer once released, and does not reach the service. */
  public void replyNext(String target, int status, String body) {
    Reply instead = Reply.json(status, body.getBytes(StandardCharsets.UTF_8));
    plans.add(new Plan(target, Interception.REPLACE_REPLY, instead));
  }

  /** Whether all requests from now on are answered 503, and carried out never. */
  public void setUnavailable(boolean value) {
    refusing = value;
  }

  /** Lets go the one of the messages of such requests that was held longest. */
  public void release(String target) {
    release(held(target).get(0));
  }

  /** Lets go the one that was held last. */
  public void releaseLast(String target) {
    List<Held> found = held(target);
    release(found.get(found.size() - 1));
  }

  private List<Held> held(String target) {
    return held.stream().filter(item -> item.target.contains(target)).toList();
  }

  private void release(Held item) {
    held.remove(item);
    item.message.run();
  }

  /** How many such requests were sent. */
  public long sentCount(String target) {
    return sent.stream().filter(request -> request.target().contains(target)).count();
  }

  @Override
  public CompletableFuture<Reply> send(Endpoint to, Request request, Duration deadline) {
    CompletableFuture<Reply> result = new CompletableFuture<>();
    time.schedule(deadline, () -> result.completeExceptionally(new IOException("no answer")));
    sent.add(request);
    if (refusing) {
      Reply refusal = Reply.json(503, new byte[0]);
      time.schedule(WAY.multipliedBy(2), () -> result.complete(refusal));
      return result;
    }
    Plan plan = plan(request);
    Runnable arrival = () -> arrive(request, plan, result);
    if (plan != null && plan.fate == Interception.HOLD_REQUEST) {
      held.add(new Held(request.target(), arrival));
    } else {
      time.schedule(WAY, arrival);
    }
    return result;
  }

  private Plan plan(Request request) {
    for (Iterator<Plan> each = plans.iterator(); each.hasNext(); ) {
      Plan plan = each.next();
      if (request.target().contains(plan.target)) {
        each.remove();
        return plan;
      }
    }
    return null;
  }

  private void arrive(Request request, Plan plan, CompletableFuture<Reply> result) {
    if (plan != null && plan.fate == Interception.REPLACE_REPLY) {
      held.add(new Held(request.target(), () -> result.complete(plan.instead)));
      return;
    }
    state
        .handle(request)
        .thenAccept(
            reply -> {
              if (plan != null && plan.fate == Interception.HOLD_REPLY) {
                held.add(new Held(request.target(), () -> result.complete(reply)));
              } else if (plan == null || plan.fate != Interception.DROP_REPLY) {
                time.schedule(WAY, () -> result.complete(reply));
              }
            });
  }
}
