package io.cherryspool.http;

import io.cherryspool.lifecycle.EventLoop;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.function.Predicate;

/**
 * Sends requests by another transport, and reports to an observer of the link which of them were
 * answered. Used on the event loop.
 */
public final class ObservedTransport implements Transport {
  private final EventLoop loop;
  private final Transport transport;
  private final Predicate<Request> isObserved;
  private final Predicate<Reply> isRefusal;
  private final Observer observer;

  /** Receives the outcome of each observed request, by the loop's time at which it was sent. */
  public interface Observer {
    /** The other side answered. */
    void onAnswer(Duration sent);

    /** The other side refused the request, or did not answer it in time. */
    void onFailure(Duration sent, Duration now);
  }

  /**
   * Makes a transport on top of another.
   *
   * @param isObserved selects the requests whose outcome shows the state of the link
   * @param isRefusal selects the replies by which the other side says that it can't serve anybody,
   *     or not this node
   */
  public ObservedTransport(
      EventLoop loop,
      Transport transport,
      Predicate<Request> isObserved,
      Predicate<Reply> isRefusal,
      Observer observer) {
    this.loop = loop;
    this.transport = transport;
    this.isObserved = isObserved;
    this.isRefusal = isRefusal;
    this.observer = observer;
  }

  @Override
  public CompletableFuture<Reply> send(Endpoint to, Request request, Duration deadline) {
    CompletableFuture<Reply> answer = transport.send(to, request, deadline);
    if (!isObserved.test(request)) {
      return answer;
    }
    Duration sent = loop.now();
    return answer.whenComplete(
        (reply, failure) -> {
          if (failure != null || isRefusal.test(reply)) {
            observer.onFailure(sent, loop.now());
          } else {
            observer.onAnswer(sent);
          }
        });
  }
}
