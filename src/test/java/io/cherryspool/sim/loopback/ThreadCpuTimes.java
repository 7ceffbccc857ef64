package io.cherryspool.sim.loopback;

import java.util.EnumMap;
import java.util.Map;

/** The processor time of a controller for each group of its threads. Immutable. */
public final class ThreadCpuTimes {
  static final ThreadCpuTimes ZERO = new ThreadCpuTimes(new EnumMap<>(Group.class));

  /** A group of threads by their names, which the kernel truncates to 15 characters. */
  public enum Group {
    LOOP("multiThreadIoEv"),
    COMPILER("C1 CompilerThre"),
    MAIN("java"),
    OTHER("");

    private final String threadName;

    Group(String threadName) {
      this.threadName = threadName;
    }

    /** Returns the group of a thread by the thread's name in the kernel. */
    static Group of(String name) {
      for (Group group : values()) {
        if (group.threadName.equals(name)) {
          return group;
        }
      }
      return OTHER;
    }
  }

  private final Map<Group, Long> nanos;

  private ThreadCpuTimes(Map<Group, Long> nanos) {
    this.nanos = nanos;
  }

  ThreadCpuTimes plus(Group group, long addedNanos) {
    Map<Group, Long> sum = new EnumMap<>(Group.class);
    sum.putAll(nanos);
    sum.merge(group, addedNanos, Long::sum);
    return new ThreadCpuTimes(sum);
  }

  public ThreadCpuTimes minus(ThreadCpuTimes other) {
    ThreadCpuTimes result = this;
    for (Group group : Group.values()) {
      result = result.plus(group, -other.nanos.getOrDefault(group, 0L));
    }
    return result;
  }

  public double millis(Group group) {
    return nanos.getOrDefault(group, 0L) / 1e6;
  }

  public double millis() {
    return nanos.values().stream().mapToLong(Long::longValue).sum() / 1e6;
  }
}
