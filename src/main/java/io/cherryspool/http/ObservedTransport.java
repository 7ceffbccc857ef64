package io.cherryspool.http;

import io.cherryspool.lifecycle.EventLoop;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.function.Predicate;

/**
 * Sends requests through another transport, and reports to an observer whether the other side
 * answered them. The observer derives the state of the link from these reports. Used on the event
 * loop.
 */
public final class ObservedTransport implements Transport {
  private final EventLoop loop;
  private final Transport transport;
  private final Predicate<Request> isObserved;
  private final Predicate<Reply> isRefusal;
  private final Observer observer;

  /**
   * Receives the outcome of each observed request. Times are those of the event loop's clock, and
   * {@code sentAt} is when the request was sent.
   */
  public interface Observer {
    /** Called when the other side has answered a request. */
    void onAnswer(Duration sentAt);

    /** Called when the other side has refused a request, or has not answered it in time. */
    void onFailure(Duration sentAt, Duration now);
  }

  /**
   * Creates a transport that wraps another.
   *
   * @param isObserved selects the requests whose outcome shows the state of the link
   * @param isRefusal selects the replies by which the other side reports that it cannot serve any
   *     request, or any request from this node
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
    CompletableFuture<Reply> result = transport.send(to, request, deadline);
    if (!isObserved.test(request)) {
      return result;
    }
    Duration sentAt = loop.now();
    return result.whenComplete(
        (reply, failure) -> {
          if (failure != null || isRefusal.test(reply)) {
            observer.onFailure(sentAt, loop.now());
          } else {
            observer.onAnswer(sentAt);
          }
        });
  }
}
