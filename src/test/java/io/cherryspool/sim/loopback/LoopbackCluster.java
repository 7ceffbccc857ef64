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
 * The environment of controllers that run in separate processes, on loopback addresses: a fake
 * state store on one event loop of this process, and a fake cloud and its workers on another.
 */
public final class LoopbackCluster {
  public static final Duration HEARTBEAT_INTERVAL = Duration.ofMillis(2500);

  private static final Duration LEASE = Duration.ofSeconds(16);
  private static final int STATE_STORE_PORT = 12379;
  private static final int CLOUD_PORT = 18443;
  private static final int NODE_PORT = 18080;
  private static final int MAX_SOCKETS = 256;
  private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(10);
  private static final MachineType MACHINE_TYPE =
      new MachineType(
          "box",
          new Resources(16, 0, 64),
          50,
          0.5,
          1,
          0.4,
          Duration.ofSeconds(10),
          LoopbackNodes.ZONES);

  private final int machineCount;
  private final Endpoint stateStoreAddress;
  private final Endpoint cloudAddress;
  private final NettyEventLoop loop = new NettyEventLoop();
  private final SplittableRandom random = new SplittableRandom(1);

  /** A separate loop, so that the state store responds while a fleet sends its first heartbeats. */
  private final NettyEventLoop stateStoreLoop = new NettyEventLoop();

  private final FakeStateStore stateStore = new FakeStateStore(stateStoreLoop, random.split(), 0);
  private final FakeCloud cloud;
  private final NettyHttpClient client = new NettyHttpClient(loop, MAX_SOCKETS);
  private final LoopbackNodes nodes;
  private final LoopbackFleet fleet;

  /**
   * Creates the loopback cluster.
   *
   * @param subnet the second part of the loopback addresses of services and controllers; the
   *     workers use the next subnet
   */
  public LoopbackCluster(
      int subnet, int controllers, int machineCount, LoopbackNodes.Limits limits) {
    this(subnet, controllers, machineCount, limits, LoopbackRoutes.DIRECT);
  }

  /** Creates a loopback cluster whose hosts reach one another by the given routes. */
  LoopbackCluster(
      int subnet,
      int controllers,
      int machineCount,
      LoopbackNodes.Limits limits,
      LoopbackRoutes routes) {
    this.machineCount = machineCount;
    String network = "127." + subnet + ".";
    stateStoreAddress = new Endpoint(network + "1.1", STATE_STORE_PORT);
    cloudAddress = new Endpoint(network + "1.2", CLOUD_PORT);
    WorkerSettings workerSettings = new WorkerSettings(HEARTBEAT_INTERVAL, LEASE, 0);
    nodes =
        new LoopbackNodes(
            controllers,
            network + "0.",
            NODE_PORT,
            new LoopbackNodes.Services(stateStoreAddress, cloudAddress),
            workerSettings,
            limits,
            routes);
    fleet = new LoopbackFleet(loop, random, nodes.workerAddresses(), workerSettings);
    cloud =
        new FakeCloud(
            loop,
            random.split(),
            List.of(MACHINE_TYPE),
            machineCount,
            "127." + (subnet + 1) + ".",
            fleet::boot,
            machine -> {});
  }

  /** Returns a job with equal tasks that belongs to the only team. */
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

  /** The number of requests and changes that the state store has processed. */
  public record StateStoreLoad(long requests, long changes) {}

  /** Starts the servers of the state store and the cloud. There are no machines yet. */
  public void startServers() throws InterruptedException {
    new NettyHttpServer(stateStoreLoop, stateStore, MAX_SOCKETS).bind(stateStoreAddress);
    new NettyHttpServer(loop, cloud, MAX_SOCKETS).bind(cloudAddress);
  }

  /** Returns the workers and the counts of their tasks. */
  public LoopbackFleet fleet() {
    return fleet;
  }

  public LoopbackNodes nodes() {
    return nodes;
  }

  /** Boots all machines, distributed over one heartbeat interval. */
  public void bootWorkers() {
    EventLoopCalls.run(
        loop,
        () -> {
          for (int i = 0; i < machineCount; i++) {
            String zone = LoopbackNodes.ZONES.get(i % LoopbackNodes.ZONES.size());
            cloud.addMachine(
                MACHINE_TYPE.name(),
                zone,
                true,
                HEARTBEAT_INTERVAL.multipliedBy(i).dividedBy(machineCount));
          }
        });
  }

  /** Makes the state store lose its data. */
  public void loseStateStoreData() {
    EventLoopCalls.run(stateStoreLoop, stateStore::loseAllData);
  }

  /** Returns what the state store has processed since its start. */
  public StateStoreLoad stateStoreLoad() {
    return EventLoopCalls.call(
        stateStoreLoop,
        () -> new StateStoreLoad(stateStore.requestCount(), stateStore.changeCount()));
  }

  /** Returns the number of machines. */
  public int machineCount() {
    return machineCount;
  }

  /** Sends a request to a node. Must be called on {@link #loop()}. */
  public CompletableFuture<Reply> send(String node, Request request) {
    return client.send(nodes.addresses().get(node), request, REQUEST_TIMEOUT);
  }

  /** Commits a change to the state store, as a node would. */
  public CompletableFuture<Reply> commit(StateStoreProtocol.Change change) {
    CompletableFuture<Reply> result = new CompletableFuture<>();
    Request request = StateStoreProtocol.transactionRequest(Map.of(), List.of(change));
    stateStoreLoop.execute(() -> stateStore.handle(request).thenAccept(result::complete));
    return result;
  }

  public NettyEventLoop loop() {
    return loop;
  }
}
