import com.fasterxml.jackson.databind.JsonNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.BindException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.URLDecoder;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ThreadLocalRandom;

/** HTTP servers and clients of the stand-ins. */
final class Http {
  static {
    System.setProperty("sun.net.httpserver.nodelay", "true");
    System.setProperty("sun.net.httpserver.maxReqTime", "-1");
  }

  static final ExecutorService THREADS =
      Executors.newCachedThreadPool(
          task -> {
            Thread thread = new Thread(task);
            thread.setDaemon(true);
            return thread;
          });

  private Http() {}

  /** An answer; null means that the connection is closed without an answer. */
  record Answer(int status, byte[] body) {
    static Answer of(int status, JsonNode body) {
      return new Answer(status, Json.bytes(body));
    }

    static Answer error(int status, String text) {
      return of(status, Json.object().put("error", text));
    }
  }

  interface Handler {
    Answer handle(String method, String path, String query, byte[] body) throws Exception;
  }

  /** Starts a server on a free loopback port and returns it. */
  static HttpServer serve(Handler handler) throws IOException {
    HttpServer server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 512);
    server.setExecutor(THREADS);
    server.createContext("/", exchange -> answer(exchange, handler));
    server.start();
    return server;
  }

  private static void answer(HttpExchange exchange, Handler handler) throws IOException {
    try {
      byte[] body = exchange.getRequestBody().readAllBytes();
      URI uri = exchange.getRequestURI();
      Answer answer =
          handler.handle(exchange.getRequestMethod(), uri.getPath(), uri.getRawQuery(), body);
      if (answer != null) {
        exchange.getResponseHeaders().set("Content-Type", "application/json");
        exchange.sendResponseHeaders(
            answer.status(), answer.body().length == 0 ? -1 : answer.body().length);
        if (answer.body().length > 0) {
          exchange.getResponseBody().write(answer.body());
        }
      }
    } catch (IOException e) {
      // The caller has closed the connection.
    } catch (Exception e) {
      e.printStackTrace();
    } finally {
      exchange.close();
    }
  }

  static String address(HttpServer server) {
    return "127.0.0.1:" + server.getAddress().getPort();
  }

  static String parameter(String query, String name, String ifAbsent) {
    if (query != null) {
      for (String pair : query.split("&")) {
        if (pair.startsWith(name + "=")) {
          return URLDecoder.decode(pair.substring(name.length() + 1), StandardCharsets.UTF_8);
        }
      }
    }
    return ifAbsent;
  }

  /**
   * Returns a free port below those that the system assigns by itself, so that no other socket
   * takes it before a controller listens on it.
   */
  static int freePort() throws IOException {
    while (true) {
      int port = ThreadLocalRandom.current().nextInt(12_000, 30_000);
      try (ServerSocket socket = new ServerSocket()) {
        socket.bind(new InetSocketAddress("127.0.0.1", port));
        return port;
      } catch (BindException e) {
        // The port is in use.
      }
    }
  }

  static HttpClient client() {
    return HttpClient.newBuilder()
        .version(HttpClient.Version.HTTP_1_1)
        .executor(THREADS)
        .connectTimeout(Duration.ofSeconds(2))
        .build();
  }

  static HttpRequest request(
      String method, String address, String target, byte[] body, Duration limit) {
    return HttpRequest.newBuilder(URI.create("http://" + address + target))
        .timeout(limit)
        .method(
            method,
            body == null
                ? HttpRequest.BodyPublishers.noBody()
                : HttpRequest.BodyPublishers.ofByteArray(body))
        .build();
  }

  /** Sends a request; returns null if there is no answer within the limit. */
  static Answer send(
      HttpClient client, String method, String address, String target, byte[] body, double limitS)
      throws InterruptedException {
    try {
      HttpResponse<byte[]> answer =
          client.send(
              request(method, address, target, body, Duration.ofMillis((long) (limitS * 1000))),
              HttpResponse.BodyHandlers.ofByteArray());
      return new Answer(answer.statusCode(), answer.body());
    } catch (IOException e) {
      return null;
    }
  }
}
