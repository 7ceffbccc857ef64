package io.cherryspool.mesh;

import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cherryspool.http.Endpoint;
import io.cherryspool.http.NettyEventLoop;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** The mesh over real sockets. */
class NettyMeshTest {
  private static final long TIMEOUT_S = 10;
  private static final Mesh.PeerHeartbeat HEARTBEAT =
      new Mesh.PeerHeartbeat(
          "node", 1, true, 0, 0, 0, Mesh.RetainedRecordsSummary.NONE, LinkSummary.NONE);

  /** Closing a connection removes it from those that are being closed. */
  @Test
  void stopClosesTheListenerAlsoWithConnectionsOpen() throws Exception {
    NettyEventLoop loop = new NettyEventLoop();
    Endpoint own = freeEndpoint();
    CountDownLatch received = new CountDownLatch(2);
    NettyMesh mesh = new NettyMesh(loop, List.of(own), heartbeat -> received.countDown());
    mesh.bind(own);
    loop.execute(mesh::start);
    for (int i = 0; i < 200 && received.getCount() > 0; i++) {
      loop.execute(() -> mesh.broadcast(HEARTBEAT));
      received.await(50, TimeUnit.MILLISECONDS);
    }
    assertTrue(received.await(0, TimeUnit.SECONDS), "no heartbeat arrived");
    CompletableFuture<Void> stopped = new CompletableFuture<>();
    loop.execute(
        () -> {
          try {
            mesh.stop();
            stopped.complete(null);
          } catch (RuntimeException e) {
            stopped.completeExceptionally(e);
          }
        });
    stopped.get(TIMEOUT_S, TimeUnit.SECONDS);
    assertTrue(refuses(own), "the listener is still open");
    loop.shutdown();
    loop.awaitTermination();
  }

  private static Endpoint freeEndpoint() throws Exception {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return new Endpoint("127.0.0.1", socket.getLocalPort());
    }
  }

  /** The listener closes on the loop, shortly after the call. */
  private static boolean refuses(Endpoint endpoint) throws InterruptedException {
    for (int i = 0; i < 100; i++) {
      try (Socket socket = new Socket()) {
        socket.connect(new InetSocketAddress(endpoint.host(), endpoint.port()), 1000);
      } catch (IOException e) {
        return true;
      }
      Thread.sleep(50);
    }
    return false;
  }
}
