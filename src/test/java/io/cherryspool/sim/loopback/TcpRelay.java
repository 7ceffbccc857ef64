package io.cherryspool.sim.loopback;

import io.cherryspool.http.Endpoint;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Passes connections on to another address, and fails on demand: it resets them, or holds what goes
 * in one direction until it is well again, as a network does that loses packets which TCP repeats.
 */
final class TcpRelay implements AutoCloseable {
  private static final int BUFFER = 16 * 1024;

  private final Endpoint target;
  private final ServerSocket listener;
  private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
  private Mode mode = Mode.PASS;

  /** What the relay does. */
  enum Mode {
    PASS,
    /** Connections are closed, and new ones at once. */
    RESET,
    /** What clients send waits; answers pass. */
    HOLD_REQUESTS,
    /** What clients send passes; answers wait. */
    HOLD_ANSWERS
  }

  TcpRelay(Endpoint at, Endpoint target) throws IOException {
    this.target = target;
    listener = new ServerSocket();
    listener.setReuseAddress(true);
    listener.bind(new InetSocketAddress(at.host(), at.port()));
    begin(this::acceptAll);
  }

  private void begin(Runnable task) {
    Thread thread = new Thread(task, "relay to " + target);
    thread.setDaemon(true);
    thread.start();
  }

  /** From now on. */
  synchronized void setMode(Mode next) {
    mode = next;
    notifyAll();
    if (next == Mode.RESET) {
      sockets.forEach(TcpRelay::shut);
    }
  }

  private synchronized boolean resets() {
    return mode == Mode.RESET;
  }

  private synchronized void awaitPassing(Mode holding) throws InterruptedException {
    while (mode == holding) {
      wait();
    }
  }

  private void acceptAll() {
    while (!listener.isClosed()) {
      try {
        relay(listener.accept());
      } catch (IOException e) {
        // The relay is closed.
      }
    }
  }

  /** A client that the target does not accept must not take the relay for it. */
  private void relay(Socket client) {
    if (resets()) {
      shut(client);
      return;
    }
    try {
      Socket server = new Socket(target.host(), target.port());
      sockets.add(client);
      sockets.add(server);
      begin(() -> pump(client, server, Mode.HOLD_REQUESTS));
      begin(() -> pump(server, client, Mode.HOLD_ANSWERS));
    } catch (IOException e) {
      shut(client);
    }
  }

  private void pump(Socket from, Socket to, Mode holding) {
    byte[] buffer = new byte[BUFFER];
    try (InputStream in = from.getInputStream();
        OutputStream out = to.getOutputStream()) {
      for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
        awaitPassing(holding);
        out.write(buffer, 0, count);
      }
    } catch (IOException e) {
      // Either side has closed, or the relay has.
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } finally {
      shut(from);
      shut(to);
      sockets.remove(from);
      sockets.remove(to);
    }
  }

  private static void shut(Socket socket) {
    try {
      socket.close();
    } catch (IOException e) {
      // It is closed already.
    }
  }

  @Override
  public void close() throws IOException {
    listener.close();
    setMode(Mode.RESET);
  }
}
