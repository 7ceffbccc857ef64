package io.cherryspool.sim.loopback;

import io.cherryspool.http.Endpoint;

/** By which addresses the hosts of a loopback cluster reach one another. */
interface LoopbackRoutes {
  /** Each by its own address. */
  LoopbackRoutes DIRECT =
      new LoopbackRoutes() {
        @Override
        public Endpoint state(int controller, Endpoint service) {
          return service;
        }

        @Override
        public Endpoint peer(int from, int to, Endpoint mesh) {
          return mesh;
        }

        @Override
        public Endpoint controller(int controller, Endpoint address) {
          return address;
        }
      };

  /** Where the controller reaches the state store. */
  Endpoint state(int controller, Endpoint service);

  /** Where the one controller reaches the other for its heartbeats. */
  Endpoint peer(int from, int to, Endpoint mesh);

  /** Where workers reach the controller. */
  Endpoint controller(int controller, Endpoint address);
}
