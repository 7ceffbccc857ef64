package io.cherryspool.sim.driver;

import com.sun.management.ThreadMXBean;
import java.lang.management.ManagementFactory;
import java.lang.management.MemoryMXBean;
import java.util.function.Supplier;

/** Counts bytes, which unlike time do not depend on what else the machine does. */
public final class HeapMeter {
  private static final ThreadMXBean THREADS = (ThreadMXBean) ManagementFactory.getThreadMXBean();
  private static final MemoryMXBean MEMORY = ManagementFactory.getMemoryMXBean();

  /** What one collection only makes ready to be freed, the next ones free. */
  private static final int COLLECTIONS = 3;

  private HeapMeter() {}

  /** The bytes that the task allocates, all of it on this thread. */
  public static long allocatedBytes(Runnable task) {
    long thread = Thread.currentThread().getId();
    long before = THREADS.getThreadAllocatedBytes(thread);
    task.run();
    return THREADS.getThreadAllocatedBytes(thread) - before;
  }

  /** The bytes by which the heap grows as long as what is made stays reachable. */
  public static long retainedBytes(Supplier<Object> maker) {
    long before = live();
    Object made = maker.get();
    long after = live();
    if (made == null) {
      throw new IllegalArgumentException("nothing was made");
    }
    return after - before;
  }

  private static long live() {
    for (int i = 0; i < COLLECTIONS; i++) {
      MEMORY.gc();
    }
    return MEMORY.getHeapMemoryUsage().getUsed();
  }
}
