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

/** Asks a running node on behalf of an operator. Troubles are one line on standard error. */
final class NodeClient {
  /** The exit status when the node refuses, or can't be reached. */
  static final int REFUSED = 1;

  private static final Duration PATIENCE = Duration.ofSeconds(5);

  private NodeClient() {}

  /** A node's answer, and the address that gave it. */
  record Answer(String address, int status, String body) {}

  /** The answer; empty if there is none, which has been said then. */
  static Optional<Answer> ask(
      CommandLine command, NodeAddress node, HttpRequest.Builder request, String path)
      throws InterruptedException {
    String address;
    try {
      address = node.text();
    } catch (ConfigException e) {
      throw new ParameterException(command, e.getMessage());
    }
    try {
      request.uri(URI.create("http://" + address + path)).timeout(PATIENCE);
    } catch (IllegalArgumentException e) {
      throw new ParameterException(command, "not an address: " + address);
    }
    try {
      HttpResponse<String> answer =
          HttpClient.newBuilder()
              .connectTimeout(PATIENCE)
              .build()
              .send(request.build(), HttpResponse.BodyHandlers.ofString());
      return Optional.of(new Answer(address, answer.statusCode(), answer.body()));
    } catch (IOException e) {
      System.err.println("cherryspool: " + address + " can't be reached: " + e);
      return Optional.empty();
    }
  }
}
