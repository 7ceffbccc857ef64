package io.cherryspool.sim.loopback;

import io.cherryspool.http.Endpoint;

/** The addresses by which the hosts of a loopback cluster reach one another. */
interface LoopbackRoutes {
  /** Routes by which each host is reached at its own address. */
  LoopbackRoutes DIRECT =
      new LoopbackRoutes() {
        @Override
        public Endpoint stateStoreAddress(int controller, Endpoint service) {
          return service;
        }

        @Override
        public Endpoint peerAddress(int from, int to, Endpoint mesh) {
          return mesh;
        }

        @Override
        public Endpoint controllerAddress(int controller, Endpoint address) {
          return address;
        }
      };

  /** Returns the address at which the controller reaches the state store. */
  Endpoint stateStoreAddress(int controller, Endpoint service);

  /** Returns the address to which one controller sends its heartbeats to another. */
  Endpoint peerAddress(int from, int to, Endpoint mesh);

  /** Returns the address at which workers reach the controller. */
  Endpoint controllerAddress(int controller, Endpoint address);
}
