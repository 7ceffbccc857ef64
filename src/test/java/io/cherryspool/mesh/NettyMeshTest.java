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

/** Tests the mesh over real sockets. */
class NettyMeshTest {
  private static final long TIMEOUT_S = 10;
  private static final Mesh.PeerHeartbeat HEARTBEAT =
      new Mesh.PeerHeartbeat(
          "node", 1, true, 0, 0, 0, Mesh.RetainedRecordsSummary.NONE, LinkSummary.NONE);

  /**
   * Closing a connection changes the map of connections, so {@link NettyMesh#stop} must not iterate
   * over that map while it closes them.
   */
  @Test
  void stopClosesTheListenerWhileConnectionsAreOpen() throws Exception {
    NettyEventLoop loop = new NettyEventLoop();
    Endpoint endpoint = freeEndpoint();
    CountDownLatch received = new CountDownLatch(2);
    NettyMesh mesh = new NettyMesh(loop, List.of(endpoint), heartbeat -> received.countDown());
    mesh.bind(endpoint);
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
    assertTrue(refusesConnections(endpoint), "the listener is still open");
    loop.shutdown();
    loop.awaitTermination();
  }

  private static Endpoint freeEndpoint() throws Exception {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return new Endpoint("127.0.0.1", socket.getLocalPort());
    }
  }

  /**
   * Whether the endpoint refuses connections. Tries repeatedly, because the listener closes on the
   * event loop shortly after the call.
   */
  private static boolean refusesConnections(Endpoint endpoint) throws InterruptedException {
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
