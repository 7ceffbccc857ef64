package io.cherryspool.wire;

/**
 * The JSON field names of the protocols. Each constant is named by the standard term that the code
 * uses for the field; the package documentation has a table of these terms.
 *
 * <p>All fields are compile-time constants, so this class is not loaded at run time. A field name
 * with different meanings in different messages has one constant for each meaning.
 */
final class ProtocolFields {
  // Fields of machines and tasks that several protocols share.
  static final String ID = "ref";
  static final String MACHINE = "spindle";
  static final String MACHINES = "spindles";
  static final String ADDRESS = "endpoint";
  static final String MACHINE_TYPE = "build";
  static final String MACHINE_TYPES = "builds";
  static final String ZONE = "yard";
  static final String ZONES = "yards";
  static final String SPOT = "loaners";
  static final String CPUS = "vcpus";
  static final String GPUS = "gpus";
  static final String MEMORY_GB = "mem_gb";
  static final String STATUS = "status";
  static final String ERROR = "error";
  static final String HAS_MORE = "has_next";

  // Jobs, as submitted and queried by users.
  static final String JOB_CLASS = "lane";
  static final String TEAM = "owner";
  static final String JOB_KIND = "shape";
  static final String PRIORITY = "urgency";
  static final String TASK_COUNT = "pieces";
  static final String IMAGE = "bundle";
  static final String IMAGE_GB = "size_gb";
  static final String REQUIRES_SINGLE_ZONE = "together";
  static final String REQUIRES_ZONE_SPREAD = "scatter";
  static final String ESTIMATED_RUN_TIME = "expect_s";
  static final String CHECKPOINT_INTERVAL = "bookmark_s";
  static final String CHECKPOINT_DURATION = "stash_s";
  static final String DEADLINE = "due_s";
  static final String DONE_TASKS = "done";
  static final String RUNNING_TASKS = "running";
  static final String FAILING_TASKS = "failing";

  // Heartbeats from workers, and commands to them.
  static final String AGENT_EPOCH = "shift";
  static final String SEQUENCE = "tick";
  static final String FENCING_TOKEN = "baton";
  static final String PREEMPTION_NOTICE = "warning_s";
  static final String TASKS = "pieces";
  static final String TASK = "piece";
  static final String ATTEMPT = "try";
  static final String EXIT_CAUSE = "cause";
  static final String COMMANDS = "orders";
  static final String ACTION = "verb";
  static final String GRACE_PERIOD = "leeway_s";
  static final String LEADER = "foreman";

  // The cloud's catalog, instance requests and instance list.
  static final String NAME = "name";
  static final String IMAGE_CACHE_GB = "local_gb";
  static final String FETCH_GB_PER_SECOND = "fetch_gb_per_s";
  static final String ON_DEMAND_PRICE = "rate";
  static final String SPOT_PRICE = "market_price";
  static final String BOOT_TIME = "startup_s";
  static final String REQUEST_NAME = "hire";
  static final String COUNT = "how_many";
  static final String AGE = "held_s";

  // The state store.
  static final String KEY = "path";
  static final String VALUE = "v";
  static final String VERSION = "stamp";
  static final String REVISION = "epoch";
  static final String LEASE_ID = "tenancy";
  static final String LEASE_MILLIS = "ttl_ms";
  static final String CONDITIONS = "if";
  static final String CHANGES = "apply";
  static final String PUT = "put";
  static final String DELETE = "delete";
  static final String FAILED_KEYS = "failed";
  static final String ENTRIES = "entries";
  static final String EVENTS = "events";

  private ProtocolFields() {}
}
