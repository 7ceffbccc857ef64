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
import io.cherryspool.sim.fakes.FakeWorker;
import io.cherryspool.wire.StateStoreProtocol;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Supplier;

/**
 * What stands around the controllers whose costs are measured: a state service, a cloud and a fleet
 * of workers, the last two on one event loop of this process, and all on addresses of the loopback
 * network.
 */
public final class LoopbackCluster {
  public static final Duration HEARTBEAT_INTERVAL = Duration.ofMillis(2500);

  private static final Duration LEASE = Duration.ofSeconds(16);
  private static final int STATE_PORT = 12379;
  private static final int CLOUD_PORT = 18443;
  private static final int NODE_PORT = 18080;
  private static final int SOCKETS = 256;
  private static final int SOCKETS_PER_WORKER = 4;
  private static final Duration CALL_LIMIT = Duration.ofSeconds(10);
  private static final long ANSWER_S = 30;
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

  /** Of its own, so that a fleet that begins to report does not make the state service silent. */
  private final NettyEventLoop stateLoop = new NettyEventLoop();

  private final FakeStateStore state = new FakeStateStore(stateLoop, random.split(), 0);
  private final FakeCloud cloud;
  private final NettyHttpClient client = new NettyHttpClient(loop, SOCKETS);
  private final LoopbackNodes nodes;
  private final Map<String, Endpoint> workerAddresses;
  private final ExecutorService binding = Executors.newSingleThreadExecutor();
  private final List<FakeWorker> workers = new ArrayList<>();
  private final Map<String, Job> jobs = new HashMap<>();
  private final Map<String, Integer> completions = new HashMap<>();
  private final Set<String> tasksStartedTwice = new HashSet<>();
  private final Set<String> tasksEndedLate = new HashSet<>();
  private int startedTasks;
  private volatile long lastStart;

  /**
   * @param services the second part of the loopback addresses of services and controllers; the
   *     workers have the one after it
   */
  public LoopbackCluster(int services, int controllers, int size, LoopbackNodes.Limits limits) {
    this(services, controllers, size, limits, LoopbackRoutes.DIRECT);
  }

  /** As above, with links that the routes lead over. */
  LoopbackCluster(
      int services, int controllers, int size, LoopbackNodes.Limits limits, LoopbackRoutes routes) {
    this.size = size;
    String network = "127." + services + ".";
    stateAddress = new Endpoint(network + "1.1", STATE_PORT);
    cloudAddress = new Endpoint(network + "1.2", CLOUD_PORT);
    nodes =
        new LoopbackNodes(
            controllers,
            network + "0.",
            NODE_PORT,
            stateAddress,
            cloudAddress,
            HEARTBEAT_INTERVAL,
            LEASE,
            limits,
            routes);
    workerAddresses = nodes.workerAddresses();
    cloud =
        new FakeCloud(
            loop,
            random.split(),
            List.of(BOX),
            size,
            "127." + (services + 1) + ".",
            this::boot,
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

  /** The services listen; there is no machine yet. */
  public void listen() throws InterruptedException {
    new NettyHttpServer(stateLoop, state, SOCKETS).bind(stateAddress);
    new NettyHttpServer(loop, cloud, SOCKETS).bind(cloudAddress);
  }

  public LoopbackNodes nodes() {
    return nodes;
  }

  /** All machines boot and begin to report, spread over one report's time. */
  public void bootWorkers() {
    onLoop(
        () -> {
          for (int i = 0; i < size; i++) {
            String zone = LoopbackNodes.ZONES.get(i % LoopbackNodes.ZONES.size());
            cloud.addMachine(
                BOX.name(), zone, true, HEARTBEAT_INTERVAL.multipliedBy(i).dividedBy(size));
          }
          return null;
        });
  }

  private void boot(FakeCloud.Machine machine) {
    FakeWorker worker =
        new FakeWorker(
            loop,
            random.split(),
            new NettyHttpClient(loop, SOCKETS_PER_WORKER),
            machine,
            workerAddresses,
            jobs::get,
            HEARTBEAT_INTERVAL,
            LEASE,
            0,
            this::started,
            task -> completions.merge(task, 1, Integer::sum));
    workers.add(worker);
    // Binding waits for the loop, on which this runs.
    binding.execute(() -> listen(machine, worker));
  }

  private void listen(FakeCloud.Machine machine, FakeWorker worker) {
    try {
      new NettyHttpServer(loop, worker, SOCKETS).bind(Endpoint.parse(machine.address()));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void started(FakeWorker on, String task) {
    startedTasks++;
    lastStart = System.nanoTime();
    for (FakeWorker other : workers) {
      if (other != on && other.runningTasks().contains(task)) {
        // A loop that is behind ends the tasks of a lease that is over too late.
        boolean over = loop.now().minus(other.leaseRenewedAt()).compareTo(LEASE) > 0;
        (over ? tasksEndedLate : tasksStartedTwice).add(task);
      }
    }
  }

  /** The state service loses its data. */
  public void loseStateStoreData() {
    CompletableFuture<Void> done = new CompletableFuture<>();
    stateLoop.execute(
        () -> {
          state.loseAllData();
          done.complete(null);
        });
    await(done);
  }

  /** Requests and changes that the state service has taken. */
  public long[] stateLoad() {
    CompletableFuture<long[]> load = new CompletableFuture<>();
    stateLoop.execute(() -> load.complete(new long[] {state.requests(), state.changes()}));
    return await(load);
  }

  /**
   * Tasks that were started while another machine, whose lease was over, had not ended them yet:
   * the stand-ins' loop was behind, and a run with such tasks tells little.
   */
  public Set<String> tasksEndedLate() {
    return onLoop(() -> Set.copyOf(tasksEndedLate));
  }

  /** Tasks that were started on one machine while they were on another. */
  public Set<String> tasksStartedTwice() {
    return onLoop(() -> Set.copyOf(tasksStartedTwice));
  }

  /** How often each task has completed. */
  Map<String, Integer> completions() {
    return onLoop(() -> Map.copyOf(completions));
  }

  /** How many machines there are. */
  public int machineCount() {
    return size;
  }

  /** So many running tasks complete now, whatever they were to take. */
  public void finishTasks(int count) {
    onLoop(
        () -> {
          workers.stream()
              .filter(worker -> !worker.runningTasks().isEmpty())
              .limit(count)
              .forEach(FakeWorker::completeOneTask);
          return null;
        });
  }

  /** How many tasks are on machines now. */
  public int runningTaskCount() {
    return onLoop(() -> workers.stream().mapToInt(worker -> worker.runningTasks().size()).sum());
  }

  /** The workers may be given the tasks of this job. Call it on the loop. */
  public void addJobDescription(Job job) {
    jobs.put(job.id(), job);
  }

  /** When a task was last started, by this machine's steady clock. */
  long lastStart() {
    return lastStart;
  }

  /** How many tasks were ever started. */
  public int startedTasks() {
    return onLoop(() -> startedTasks);
  }

  /** How many reports the workers have made. */
  public long heartbeatCount() {
    return onLoop(() -> workers.stream().mapToLong(FakeWorker::heartbeatCount).sum());
  }

  /** How many leases have run out, which a measurement should not meet. */
  public long expiredLeases() {
    return onLoop(() -> workers.stream().mapToLong(worker -> worker.agentEpoch() - 1).sum());
  }

  /** The worker of the given number; numbers beyond the last begin again. Call it on the loop. */
  public FakeWorker worker(int number) {
    return workers.get(number % workers.size());
  }

  /** Asks a node something. Call it on the loop. */
  public CompletableFuture<Reply> ask(String node, Request request) {
    return client.send(nodes.addresses().get(node), request, CALL_LIMIT);
  }

  /** Commits a change as some other node might. */
  public CompletableFuture<Reply> commit(StateStoreProtocol.Change change) {
    CompletableFuture<Reply> result = new CompletableFuture<>();
    Request request = StateStoreProtocol.transactionRequest(Map.of(), List.of(change));
    stateLoop.execute(() -> state.handle(request).thenAccept(result::complete));
    return result;
  }

  public NettyEventLoop loop() {
    return loop;
  }

  private <T> T onLoop(Supplier<T> question) {
    CompletableFuture<T> answer = new CompletableFuture<>();
    loop.execute(() -> answer.complete(question.get()));
    return await(answer);
  }

  /** Waits for something that is told on the loop. */
  public static <T> T await(CompletableFuture<T> answer) {
    try {
      return answer.get(ANSWER_S, TimeUnit.SECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IllegalStateException(e);
    } catch (ExecutionException | TimeoutException e) {
      throw new IllegalStateException("no answer on the loop", e);
    }
  }
}
