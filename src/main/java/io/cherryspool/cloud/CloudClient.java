package io.cherryspool.cloud;

import com.fasterxml.jackson.databind.JsonNode;
import io.cherryspool.http.Endpoint;
import io.cherryspool.http.Reply;
import io.cherryspool.http.Request;
import io.cherryspool.http.Transport;
import io.cherryspool.model.MachineType;
import io.cherryspool.wire.CloudProtocol;
import io.cherryspool.wire.Json;
import io.cherryspool.wire.MalformedMessageException;
import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;

/**
 * Client of the cloud that provides instances. Used on the event loop, where its futures complete.
 * They fail with {@link RefusedException} if the cloud refused the request, and with another
 * exception if there was no usable answer: then it may have been carried out, or may yet be.
 */
public final class CloudClient {
  private static final int MAX_INSTANCES_PER_PAGE = 500;
  private static final int OK = 200;

  /** The status of an outage and of a type that is sold out; the body tells them apart. */
  private static final int UNAVAILABLE = 503;

  private final Transport transport;
  private final Endpoint cloud;
  private final Duration deadline;

  /**
   * Makes a client.
   *
   * @param cloud where the cloud takes requests
   * @param deadline after what time a call fails for want of an answer
   */
  public CloudClient(Transport transport, Endpoint cloud, Duration deadline) {
    this.transport = transport;
    this.cloud = cloud;
    this.deadline = deadline;
  }

  /** The cloud refused a request, which it has not carried out. */
  public static final class RefusedException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final boolean isOutOfCapacity;

    RefusedException(int status, boolean isOutOfCapacity) {
      super("the cloud answered " + status + (isOutOfCapacity ? ", no capacity" : ""));
      this.isOutOfCapacity = isOutOfCapacity;
    }

    /** Whether the instance type is sold out in its zone, as opposed to trouble of the cloud. */
    public boolean isOutOfCapacity() {
      return isOutOfCapacity;
    }
  }

  /** Whether the cloud says that it can't serve anybody now, as opposed to a type sold out. */
  public static boolean isOutage(Reply reply) {
    return reply.status() == UNAVAILABLE && !CloudProtocol.isNoCapacity(reply.body());
  }

  /** Fetches the catalog; it holds at least one machine type. */
  public CompletableFuture<List<MachineType>> fetchMachineTypes() {
    return call(CloudProtocol.catalogRequest(), CloudProtocol::parseCatalog);
  }

  /**
   * Lists instances, ordered by name. The list lags: new instances may be missing from it, and some
   * that are gone may be on it.
   *
   * @param after the name after which the page begins; null for the first page
   */
  public CompletableFuture<CloudProtocol.InstancePage> listInstances(String after) {
    return call(CloudProtocol.listRequest(after, MAX_INSTANCES_PER_PAGE), CloudProtocol::parsePage);
  }

  /**
   * Requests instances.
   *
   * @param name the request's name, which no other request may have; repeating a request that was
   *     carried out returns the same answer and starts nothing
   * @param count how many instances, at most 50
   * @return the names of the instances that the cloud starts, which may be fewer
   */
  public CompletableFuture<List<String>> requestInstances(
      String name, String type, String zone, boolean isSpot, int count) {
    return call(
        CloudProtocol.instanceRequest(name, type, zone, isSpot, count),
        CloudProtocol::parseInstanceNames);
  }

  /** Deletes instances, at most 100; they are gone once it completes. Ignores unknown names. */
  public CompletableFuture<Void> deleteInstances(List<String> names) {
    return call(CloudProtocol.deleteRequest(names), body -> null);
  }

  private <T> CompletableFuture<T> call(Request request, Parser<T> parser) {
    return transport.send(cloud, request, deadline).thenApply(reply -> parse(reply, parser));
  }

  private static <T> T parse(Reply reply, Parser<T> parser) {
    if (reply.status() != OK) {
      boolean isOutOfCapacity =
          reply.status() == UNAVAILABLE && CloudProtocol.isNoCapacity(reply.body());
      throw new RefusedException(reply.status(), isOutOfCapacity);
    }
    try {
      return parser.parse(
          reply.body().length == 0 ? Json.object() : Json.parseObject(reply.body()));
    } catch (MalformedMessageException e) {
      throw new CompletionException(new IOException("the cloud's answer: " + e.getMessage()));
    }
  }

  /** Reads the body of an answer. */
  @FunctionalInterface
  private interface Parser<T> {
    T parse(JsonNode body) throws MalformedMessageException;
  }
}
