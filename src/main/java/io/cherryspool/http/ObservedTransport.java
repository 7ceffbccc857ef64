package io.cherryspool.http;

import io.cherryspool.lifecycle.EventLoop;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.function.Predicate;

/** Sends requests by another transport, and tells an observer which of them were answered. */
public final class ObservedTransport implements Transport {
  private final EventLoop loop;
  private final Transport transport;
  private final Predicate<Request> telling;
  private final Predicate<Reply> refusal;
  private final Observer observer;

  /** Told of each request that says something of the link, by when it was sent. */
  public interface Observer {
    /** The other side answered. */
    void answered(Duration sent);

    /** It refused the request, or did not answer it in time. */
    void failed(Duration sent, Duration now);
  }

  /**
   * @param telling the requests that say something of the link
   * @param refusal the answers by which the other side says that it can't serve anybody, or not
   *     this node
   */
  public ObservedTransport(
      EventLoop loop,
      Transport transport,
      Predicate<Request> telling,
      Predicate<Reply> refusal,
      Observer observer) {
    this.loop = loop;
    this.transport = transport;
    this.telling = telling;
    this.refusal = refusal;
    this.observer = observer;
  }

  @Override
  public CompletableFuture<Reply> send(Endpoint to, Request request, Duration deadline) {
    CompletableFuture<Reply> answer = transport.send(to, request, deadline);
    if (!telling.test(request)) {
      return answer;
    }
    Duration sent = loop.now();
    return answer.whenComplete(
        (reply, failure) -> {
          if (failure != null || refusal.test(reply)) {
            observer.failed(sent, loop.now());
          } else {
            observer.answered(sent);
          }
        });
  }
}
