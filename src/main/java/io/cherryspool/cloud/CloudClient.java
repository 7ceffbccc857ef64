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

/** The cloud's calls. A future that fails leaves open whether the cloud carried the request out. */
public final class CloudClient {
  private static final int PAGE = 500;
  private static final int NO_CAPACITY = 503;

  private final Transport transport;
  private final Endpoint service;
  private final Duration deadline;

  public CloudClient(Transport transport, Endpoint service, Duration deadline) {
    this.transport = transport;
    this.service = service;
    this.deadline = deadline;
  }

  /** The cloud's refusal, as opposed to no answer. */
  public static final class RefusedException extends RuntimeException {
    private static final long serialVersionUID = 1L;
    private final boolean isOutOfCapacity;

    RefusedException(int status, boolean noCapacity) {
      super("the cloud answered " + status + (noCapacity ? ", no capacity" : ""));
      this.isOutOfCapacity = noCapacity;
    }

    /** Whether this type, zone and kind is sold out, rather than the cloud in trouble. */
    public boolean isOutOfCapacity() {
      return isOutOfCapacity;
    }
  }

  /**
   * Whether the cloud says that it can't serve anybody now, rather than that a type is sold out.
   */
  public static boolean isOutage(Reply reply) {
    return reply.status() == NO_CAPACITY && !CloudProtocol.isNoCapacity(reply.body());
  }

  public CompletableFuture<List<MachineType>> fetchMachineTypes() {
    return call(CloudProtocol.catalogRequest(), CloudProtocol::parseCatalog);
  }

  public CompletableFuture<CloudProtocol.InstancePage> listInstances(String after) {
    return call(CloudProtocol.listRequest(after, PAGE), CloudProtocol::parsePage);
  }

  public CompletableFuture<List<String>> requestInstances(
      String name, String type, String zone, boolean spot, int count) {
    return call(
        CloudProtocol.instanceRequest(name, type, zone, spot, count),
        CloudProtocol::parseInstanceNames);
  }

  public CompletableFuture<Void> deleteInstances(List<String> machines) {
    return call(CloudProtocol.deleteRequest(machines), body -> null);
  }

  private <T> CompletableFuture<T> call(Request request, Parser<T> parser) {
    return transport
        .send(service, request, deadline)
        .thenApply(
            reply -> {
              try {
                if (reply.status() != 200) {
                  boolean full =
                      reply.status() == NO_CAPACITY && CloudProtocol.isNoCapacity(reply.body());
                  throw new RefusedException(reply.status(), full);
                }
                JsonNode body =
                    reply.body().length == 0 ? Json.object() : Json.parseObject(reply.body());
                return parser.parse(body);
              } catch (MalformedMessageException e) {
                throw new CompletionException(
                    new IOException("the cloud's answer: " + e.getMessage()));
              }
            });
  }

  @FunctionalInterface
  private interface Parser<T> {
    T parse(JsonNode body) throws MalformedMessageException;
  }
}
