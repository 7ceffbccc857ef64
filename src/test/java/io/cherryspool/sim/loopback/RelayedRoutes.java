package io.cherryspool.sim.loopback;

import io.cherryspool.http.Endpoint;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.HashMap;
import java.util.Map;

/** Routes with a relay on each link of the controllers, so that a test can fail each link alone. */
final class RelayedRoutes implements LoopbackRoutes, AutoCloseable {
  private static final int STATE_STORE_PORT = 12380;
  private static final int PEER_PORT = 12400;
  private static final int CONTROLLER_PORT = 12381;

  private final String addressPrefix;
  private final Map<String, TcpRelay> relays = new HashMap<>();

  /**
   * Creates the relayed routes.
   *
   * @param addressPrefix the first three parts of the relays' addresses, with a trailing dot
   */
  RelayedRoutes(String addressPrefix) {
    this.addressPrefix = addressPrefix;
  }

  private Endpoint addRelay(String name, int host, int port, Endpoint target) {
    Endpoint relayAddress = new Endpoint(addressPrefix + (host + 1), port);
    relays.computeIfAbsent(
        name,
        key -> {
          try {
            return new TcpRelay(relayAddress, target);
          } catch (IOException e) {
            throw new UncheckedIOException(e);
          }
        });
    return relayAddress;
  }

  @Override
  public Endpoint stateStoreAddress(int controller, Endpoint service) {
    return addRelay("state " + controller, controller, STATE_STORE_PORT, service);
  }

  @Override
  public Endpoint peerAddress(int from, int to, Endpoint mesh) {
    return addRelay("peer " + from + " " + to, from, PEER_PORT + to, mesh);
  }

  @Override
  public Endpoint controllerAddress(int controller, Endpoint address) {
    return addRelay("workers " + controller, controller, CONTROLLER_PORT, address);
  }

  /** Returns the relay of the controller's link to the state store. */
  TcpRelay stateStoreRelay(int controller) {
    return relays.get("state " + controller);
  }

  /** Returns the relay of one controller's heartbeats to another. */
  TcpRelay peerRelay(int from, int to) {
    return relays.get("peer " + from + " " + to);
  }

  /** Returns the relay of the workers' link to the controller. */
  TcpRelay workersRelay(int controller) {
    return relays.get("workers " + controller);
  }

  @Override
  public void close() throws IOException {
    for (TcpRelay relay : relays.values()) {
      relay.close();
    }
  }
}
