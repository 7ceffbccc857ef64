package review;

import com.fasterxml.jackson.databind.JsonNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import io.cherryspool.wire.Json;
import java.io.IOException;
import java.io.InputStream;
import java.net.HttpURLConnection;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URL;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** Small HTTP helpers for stand-ins: servers, requests with a time limit, and free ports. */
final class Http {
  private static final Set<Integer> TAKEN = new HashSet<>();

  /** Daemon threads for all servers, so that the program can end while requests are held. */
  static final ExecutorService THREADS =
      Executors.newCachedThreadPool(
          task -> {
            Thread thread = new Thread(task);
            thread.setDaemon(true);
            return thread;
          });

  private Http() {}

  /** A response; status 0 means that there was none. */
  record Answer(int status, JsonNode body) {
    String text() {
      return status == 0 ? "no answer" : status + " " + body;
    }
  }

  /** Handles a request; returning null leaves it unanswered. */
  interface Handler {
    Answer handle(String method, String target, byte[] body) throws Exception;
  }

  static Answer answer(int status, JsonNode body) {
    return new Answer(status, body);
  }

  /** Returns a loopback port that is free now. */
  static synchronized int freePort() throws IOException {
    List<ServerSocket> tried = new ArrayList<>();
    try {
      while (true) {
        ServerSocket socket = new ServerSocket();
        tried.add(socket);
        socket.bind(new InetSocketAddress("127.0.0.1", 0));
        if (TAKEN.add(socket.getLocalPort())) {
          return socket.getLocalPort();
        }
      }
    } finally {
      for (ServerSocket socket : tried) {
        socket.close();
      }
    }
  }

  static HttpServer serve(int port, Handler handler) throws IOException {
    HttpServer server = HttpServer.create(new InetSocketAddress("127.0.0.1", port), 200);
    server.setExecutor(THREADS);
    server.createContext("/", exchange -> respond(exchange, handler));
    server.start();
    return server;
  }

  private static void respond(HttpExchange exchange, Handler handler) {
    try (exchange) {
      byte[] body = exchange.getRequestBody().readAllBytes();
      Answer answer =
          handler.handle(exchange.getRequestMethod(), exchange.getRequestURI().toString(), body);
      if (answer != null) {
        byte[] bytes = Json.toBytes(answer.body());
        exchange.getResponseHeaders().set("Content-Type", "application/json");
        exchange.sendResponseHeaders(answer.status(), bytes.length);
        exchange.getResponseBody().write(bytes);
      }
    } catch (Exception e) {
      // The caller has given up and closed the connection.
    }
  }

  /** Sends a request and waits for the response for at most this time. */
  static Answer call(String method, String address, String target, JsonNode body, int millis) {
    HttpURLConnection connection = null;
    try {
      connection = (HttpURLConnection) new URL("http://" + address + target).openConnection();
      connection.setRequestMethod(method);
      connection.setConnectTimeout(Math.min(millis, 500));
      connection.setReadTimeout(millis);
      connection.setInstanceFollowRedirects(false);
      if (method.equals("POST")) {
        connection.setDoOutput(true);
        connection.setRequestProperty("Content-Type", "application/json");
        byte[] bytes = body == null ? new byte[0] : Json.toBytes(body);
        connection.setFixedLengthStreamingMode(bytes.length);
        connection.getOutputStream().write(bytes);
      }
      int status = connection.getResponseCode();
      InputStream in =
          status < 400 ? connection.getInputStream() : connection.getErrorStream();
      byte[] bytes = in == null ? new byte[0] : in.readAllBytes();
      boolean isJson = bytes.length > 0 && bytes[0] == '{';
      return new Answer(status, isJson ? Json.parseObject(bytes) : Json.object());
    } catch (Exception e) {
      if (connection != null) {
        connection.disconnect();
      }
      return new Answer(0, Json.object());
    }
  }
}
