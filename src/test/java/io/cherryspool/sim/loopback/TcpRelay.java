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
 * Relays connections to another address, and simulates faults: it closes the connections, or holds
 * the data of one direction until the fault is over. Held data arrives late, as in a network that
 * loses packets which TCP then retransmits.
 */
final class TcpRelay implements AutoCloseable {
  private static final int BUFFER_BYTES = 16 * 1024;

  private final Endpoint target;
  private final ServerSocket listener;
  private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
  private Mode mode = Mode.PASS;

  /** The behaviour of the relay. */
  enum Mode {
    PASS,
    /** Closes all open connections, and each new connection as soon as it is accepted. */
    RESET,
    /** Holds requests of clients and relays replies. */
    HOLD_REQUESTS,
    /** Relays requests of clients and holds replies. */
    HOLD_REPLIES
  }

  TcpRelay(Endpoint listenAddress, Endpoint target) throws IOException {
    this.target = target;
    listener = new ServerSocket();
    listener.setReuseAddress(true);
    listener.bind(new InetSocketAddress(listenAddress.host(), listenAddress.port()));
    startThread(this::acceptAll);
  }

  private void startThread(Runnable task) {
    Thread thread = new Thread(task, "relay to " + target);
    thread.setDaemon(true);
    thread.start();
  }

  /** Sets the behaviour from now on. */
  synchronized void setMode(Mode newMode) {
    mode = newMode;
    notifyAll();
    if (newMode == Mode.RESET) {
      sockets.forEach(TcpRelay::closeQuietly);
    }
  }

  private synchronized boolean isResetting() {
    return mode == Mode.RESET;
  }

  private synchronized void awaitRelease(Mode holdingMode) throws InterruptedException {
    while (mode == holdingMode) {
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

  /**
   * Connects the client to the target. If the target does not accept the connection, the client's
   * connection is closed, so that the client does not mistake the relay for the target.
   */
  private void relay(Socket client) {
    if (isResetting()) {
      closeQuietly(client);
      return;
    }
    try {
      Socket server = new Socket(target.host(), target.port());
      sockets.add(client);
      sockets.add(server);
      startThread(() -> pump(client, server, Mode.HOLD_REQUESTS));
      startThread(() -> pump(server, client, Mode.HOLD_REPLIES));
    } catch (IOException e) {
      closeQuietly(client);
    }
  }

  private void pump(Socket from, Socket to, Mode holdingMode) {
    byte[] buffer = new byte[BUFFER_BYTES];
    try (InputStream in = from.getInputStream();
        OutputStream out = to.getOutputStream()) {
      for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
        awaitRelease(holdingMode);
        out.write(buffer, 0, count);
      }
    } catch (IOException e) {
      // The client, the target or the relay has closed the connection.
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } finally {
      closeQuietly(from);
      closeQuietly(to);
      sockets.remove(from);
      sockets.remove(to);
    }
  }

  private static void closeQuietly(Socket socket) {
    try {
      socket.close();
    } catch (IOException e) {
      // The socket is closed already.
    }
  }

  @Override
  public void close() throws IOException {
    listener.close();
    setMode(Mode.RESET);
  }
}
