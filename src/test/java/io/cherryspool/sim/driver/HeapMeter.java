package io.cherryspool.sim.driver;

import com.sun.management.ThreadMXBean;
import java.lang.management.ManagementFactory;
import java.lang.management.MemoryMXBean;
import java.util.function.Supplier;

/**
 * Measures allocated and retained bytes. Unlike time, they do not depend on the load of the
 * machine.
 */
public final class HeapMeter {
  private static final ThreadMXBean THREAD_BEAN =
      (ThreadMXBean) ManagementFactory.getThreadMXBean();
  private static final MemoryMXBean MEMORY_BEAN = ManagementFactory.getMemoryMXBean();

  /**
   * The number of garbage collections before each measurement. Some objects only become collectable
   * in one collection, and are freed by a later one.
   */
  private static final int COLLECTIONS_PER_MEASUREMENT = 3;

  private HeapMeter() {}

  /** Returns the bytes that the task allocates. The task must run completely on this thread. */
  public static long allocatedBytes(Runnable task) {
    long thread = Thread.currentThread().getId();
    long before = THREAD_BEAN.getThreadAllocatedBytes(thread);
    task.run();
    return THREAD_BEAN.getThreadAllocatedBytes(thread) - before;
  }

  /** Returns the bytes by which the heap grows while the created object is reachable. */
  public static long retainedBytes(Supplier<Object> factory) {
    long before = usedHeapBytes();
    Object retained = factory.get();
    long after = usedHeapBytes();
    if (retained == null) {
      throw new IllegalArgumentException("the factory returned null");
    }
    return after - before;
  }

  private static long usedHeapBytes() {
    for (int i = 0; i < COLLECTIONS_PER_MEASUREMENT; i++) {
      MEMORY_BEAN.gc();
    }
    return MEMORY_BEAN.getHeapMemoryUsage().getUsed();
  }
}
