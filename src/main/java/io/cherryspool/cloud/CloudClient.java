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
 * A future fails with {@link RefusedException} if the cloud refused the request, and with another
 * exception if there was no usable response; in that case the request may have been executed or may
 * still be executed later.
 */
public final class CloudClient {
  private static final int MAX_INSTANCES_PER_PAGE = 500;
  private static final int OK = 200;

  /**
   * The HTTP status of a refusal during an outage and of a refusal for lack of capacity. The body
   * shows which of the two it is.
   */
  private static final int UNAVAILABLE = 503;

  private final Transport transport;
  private final Endpoint cloud;
  private final Duration deadline;

  /**
   * Creates a client.
   *
   * @param cloud the address of the cloud
   * @param deadline the time after which a call without a response fails
   */
  public CloudClient(Transport transport, Endpoint cloud, Duration deadline) {
    this.transport = transport;
    this.cloud = cloud;
    this.deadline = deadline;
  }

  /** Thrown when the cloud has refused a request and has not executed it. */
  public static final class RefusedException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final boolean isOutOfCapacity;

    RefusedException(int status, boolean isOutOfCapacity) {
      super(
          "the cloud refused the request: status "
              + status
              + (isOutOfCapacity ? ", no capacity" : ""));
      this.isOutOfCapacity = isOutOfCapacity;
    }

    /**
     * Whether the cloud refused the request because it has no capacity for the machine type in the
     * requested zone, rather than for another reason.
     */
    public boolean isOutOfCapacity() {
      return isOutOfCapacity;
    }
  }

  /**
   * Whether the reply means that the cloud cannot serve any request now, as opposed to having no
   * capacity for one machine type.
   */
  public static boolean isOutage(Reply reply) {
    return reply.status() == UNAVAILABLE && !CloudProtocol.isNoCapacity(reply.body());
  }

  /** Fetches the catalog, which contains at least one machine type. */
  public CompletableFuture<List<MachineType>> fetchMachineTypes() {
    return call(CloudProtocol.catalogRequest(), CloudProtocol::parseCatalog);
  }

  /**
   * Lists instances, ordered by name. The list may be out of date: new instances may be missing
   * from it, and deleted ones may still be in it.
   *
   * @param after the last name of the previous page; null for the first page
   */
  public CompletableFuture<CloudProtocol.InstancePage> listInstances(String after) {
    return call(CloudProtocol.listRequest(after, MAX_INSTANCES_PER_PAGE), CloudProtocol::parsePage);
  }

  /**
   * Requests instances.
   *
   * @param name the request's name, which must be unique; repeating a request that was executed
   *     returns the same response and starts no instances
   * @param count the number of instances, at most 50
   * @return the names of the instances that the cloud starts, which may be fewer than requested
   */
  public CompletableFuture<List<String>> requestInstances(
      String name, String type, String zone, boolean isSpot, int count) {
    return call(
        CloudProtocol.instanceRequest(name, type, zone, isSpot, count),
        CloudProtocol::parseInstanceNames);
  }

  /**
   * Deletes at most 100 instances, which no longer exist once the future has completed normally.
   * The cloud ignores unknown names.
   */
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
      throw new CompletionException(
          new IOException("malformed response from the cloud: " + e.getMessage()));
    }
  }

  /** Decodes the body of a response. */
  @FunctionalInterface
  private interface Parser<T> {
    T parse(JsonNode body) throws MalformedMessageException;
  }
}
