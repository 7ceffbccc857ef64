package io.cherryspool.cli;

import io.cherryspool.config.ConfigException;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.Optional;
import picocli.CommandLine;
import picocli.CommandLine.ParameterException;

/** Sends an operator's request to a running node and waits for the response. */
final class NodeClient {
  /** The exit status if the node refuses the request or cannot be reached. */
  static final int EXIT_REQUEST_FAILED = 1;

  /** The HTTP status of a request that was executed. */
  static final int OK = 200;

  /** The HTTP status of a resource that the node's settings disable. */
  static final int NOT_FOUND = 404;

  private static final Duration TIMEOUT = Duration.ofSeconds(5);

  private NodeClient() {}

  /**
   * A node's response.
   *
   * @param address the address of the node, as HOST:PORT
   * @param status the HTTP status
   */
  record NodeResponse(String address, int status, String body) {}

  /**
   * Sends the request and waits for the response. If there is none, prints the reason to standard
   * error.
   *
   * @param command the command whose usage is shown if the address is invalid
   * @return the response with any status; empty if there is none
   * @throws ParameterException if the address, or the settings file that contains it, is invalid
   */
  static Optional<NodeResponse> send(
      CommandLine command, NodeAddress node, HttpRequest.Builder request, String path)
      throws InterruptedException {
    String address = resolve(command, node);
    try {
      request.uri(URI.create("http://" + address + path)).timeout(TIMEOUT);
    } catch (IllegalArgumentException e) {
      throw new ParameterException(command, "not an address: " + address);
    }
    try {
      HttpResponse<String> response =
          HttpClient.newBuilder()
              .connectTimeout(TIMEOUT)
              .build()
              .send(request.build(), HttpResponse.BodyHandlers.ofString());
      return Optional.of(new NodeResponse(address, response.statusCode(), response.body()));
    } catch (IOException e) {
      System.err.println("cherryspool: " + address + " can't be reached: " + e);
      return Optional.empty();
    }
  }

  private static String resolve(CommandLine command, NodeAddress node) {
    try {
      return node.resolve();
    } catch (ConfigException e) {
      throw new ParameterException(command, e.getMessage());
    }
  }
}
