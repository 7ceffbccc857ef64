package io.cherryspool.sim.loopback;

import io.cherryspool.http.Endpoint;
import io.cherryspool.http.NettyEventLoop;
import io.cherryspool.http.NettyHttpClient;
import io.cherryspool.http.NettyHttpServer;
import io.cherryspool.http.Reply;
import io.cherryspool.http.Request;
import io.cherryspool.model.Job;
import io.cherryspool.model.MachineType;
import io.cherryspool.model.Priority;
import io.cherryspool.model.Resources;
import io.cherryspool.sim.fakes.FakeCloud;
import io.cherryspool.sim.fakes.FakeStateStore;
import io.cherryspool.sim.fakes.WorkerSettings;
import io.cherryspool.wire.StateStoreProtocol;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;

/**
 * What controllers that run as processes of their own need around them, on loopback addresses: a
 * fake state store on one event loop of this process, and a fake cloud with its workers on another.
 */
public final class LoopbackCluster {
  public static final Duration HEARTBEAT_INTERVAL = Duration.ofMillis(2500);

  private static final Duration LEASE = Duration.ofSeconds(16);
  private static final int STATE_PORT = 12379;
  private static final int CLOUD_PORT = 18443;
  private static final int NODE_PORT = 18080;
  private static final int SOCKETS = 256;
  private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(10);
  private static final MachineType BOX =
      new MachineType(
          "box",
          new Resources(16, 0, 64),
          50,
          0.5,
          1,
          0.4,
          Duration.ofSeconds(10),
          LoopbackNodes.ZONES);

  private final int size;
  private final Endpoint stateAddress;
  private final Endpoint cloudAddress;
  private final NettyEventLoop loop = new NettyEventLoop();
  private final SplittableRandom random = new SplittableRandom(1);

  /** Of its own, so that the state store answers while a whole fleet sends its first heartbeats. */
  private final NettyEventLoop stateLoop = new NettyEventLoop();

  private final FakeStateStore state = new FakeStateStore(stateLoop, random.split(), 0);
  private final FakeCloud cloud;
  private final NettyHttpClient client = new NettyHttpClient(loop, SOCKETS);
  private final LoopbackNodes nodes;
  private final LoopbackFleet fleet;

  /**
   * Creates the loopback cluster.
   *
   * @param services the second part of the loopback addresses of services and controllers; the
   *     workers have the one after it
   */
  public LoopbackCluster(int services, int controllers, int size, LoopbackNodes.Limits limits) {
    this(services, controllers, size, limits, LoopbackRoutes.DIRECT);
  }

  /** As above, with links that take these routes. */
  LoopbackCluster(
      int services, int controllers, int size, LoopbackNodes.Limits limits, LoopbackRoutes routes) {
    this.size = size;
    String network = "127." + services + ".";
    stateAddress = new Endpoint(network + "1.1", STATE_PORT);
    cloudAddress = new Endpoint(network + "1.2", CLOUD_PORT);
    WorkerSettings workerSettings = new WorkerSettings(HEARTBEAT_INTERVAL, LEASE, 0);
    nodes =
        new LoopbackNodes(
            controllers,
            network + "0.",
            NODE_PORT,
            new LoopbackNodes.Services(stateAddress, cloudAddress),
            workerSettings,
            limits,
            routes);
    fleet = new LoopbackFleet(loop, random, nodes.workerAddresses(), workerSettings);
    cloud =
        new FakeCloud(
            loop,
            random.split(),
            List.of(BOX),
            size,
            "127." + (services + 1) + ".",
            fleet::boot,
            machine -> {});
  }

  /** A job of the one team, whose tasks are equal. */
  public static Job job(String id, int tasks, double cpus, Duration estimate) {
    return new Job(
        id,
        "lane",
        "red",
        Priority.NORMAL,
        tasks,
        new Resources(cpus, 0, 2 * cpus),
        "img",
        1,
        null,
        null,
        false,
        false,
        true,
        estimate,
        Duration.ZERO,
        Duration.ZERO,
        null,
        Instant.EPOCH);
  }

  /** Requests and changes that a state store has processed. */
  public record StateStoreLoad(long requests, long changes) {}

  /** Binds the state store and the cloud; there is no machine yet. */
  public void listen() throws InterruptedException {
    new NettyHttpServer(stateLoop, state, SOCKETS).bind(stateAddress);
    new NettyHttpServer(loop, cloud, SOCKETS).bind(cloudAddress);
  }

  /** The machines and what they run. */
  public LoopbackFleet fleet() {
    return fleet;
  }

  public LoopbackNodes nodes() {
    return nodes;
  }

  /** Boots all machines, spread over one heartbeat interval. */
  public void bootWorkers() {
    EventLoopCalls.run(
        loop,
        () -> {
          for (int i = 0; i < size; i++) {
            String zone = LoopbackNodes.ZONES.get(i % LoopbackNodes.ZONES.size());
            cloud.addMachine(
                BOX.name(), zone, true, HEARTBEAT_INTERVAL.multipliedBy(i).dividedBy(size));
          }
        });
  }

  /** The state store loses its data. */
  public void loseStateStoreData() {
    EventLoopCalls.run(stateLoop, state::loseAllData);
  }

  /** What the state store has processed since it was started. */
  public StateStoreLoad stateStoreLoad() {
    return EventLoopCalls.call(
        stateLoop, () -> new StateStoreLoad(state.requestCount(), state.changeCount()));
  }

  /** How many machines there are. */
  public int machineCount() {
    return size;
  }

  /** Sends a request to a node. Call it on the loop. */
  public CompletableFuture<Reply> ask(String node, Request request) {
    return client.send(nodes.addresses().get(node), request, REQUEST_TIMEOUT);
  }

  /** Commits a change to the state store, as a node might. */
  public CompletableFuture<Reply> commit(StateStoreProtocol.Change change) {
    CompletableFuture<Reply> result = new CompletableFuture<>();
    Request request = StateStoreProtocol.transactionRequest(Map.of(), List.of(change));
    stateLoop.execute(() -> state.handle(request).thenAccept(result::complete));
    return result;
  }

  public NettyEventLoop loop() {
    return loop;
  }
}
