package review;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;

/**
 * A TCP relay for one link. While the link is cut, data waits in the relay and arrives in order
 * once the cut is over, as on a network that holds packets.
 */
final class Relay {
  private final int targetPort;
  private final ServerSocket listener;
  private boolean isCut;

  Relay(int port, int targetPort) throws IOException {
    this.targetPort = targetPort;
    listener = new ServerSocket();
    listener.bind(new InetSocketAddress("127.0.0.1", port), 200);
    Http.THREADS.execute(this::acceptAll);
  }

  synchronized void setCut(boolean value) {
    isCut = value;
    notifyAll();
  }

  private synchronized void awaitOpen() throws InterruptedException {
    while (isCut) {
      wait();
    }
  }

  private void acceptAll() {
    while (true) {
      try {
        Socket client = listener.accept();
        Http.THREADS.execute(() -> connect(client));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void connect(Socket client) {
    try {
      awaitOpen();
      Socket server = new Socket("127.0.0.1", targetPort);
      client.setTcpNoDelay(true);
      server.setTcpNoDelay(true);
      Http.THREADS.execute(() -> pump(client, server));
      Http.THREADS.execute(() -> pump(server, client));
    } catch (IOException | InterruptedException e) {
      close(client);
    }
  }

  private void pump(Socket from, Socket to) {
    byte[] buffer = new byte[65536];
    try {
      InputStream in = from.getInputStream();
      OutputStream out = to.getOutputStream();
      for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
        awaitOpen();
        out.write(buffer, 0, count);
      }
      awaitOpen();
    } catch (IOException | InterruptedException e) {
      // One side has closed the connection.
    } finally {
      close(from);
      close(to);
    }
  }

  private static void close(Socket socket) {
    try {
      socket.close();
    } catch (IOException e) {
      // It is closed.
    }
  }
}
