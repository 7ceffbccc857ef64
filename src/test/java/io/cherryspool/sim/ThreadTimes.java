package io.cherryspool.sim;

import java.util.EnumMap;
import java.util.Map;

/** Processor time by what the threads of a controller do. Immutable. */
final class ThreadTimes {
  static final ThreadTimes NONE = new ThreadTimes(new EnumMap<>(Group.class));

  /** What a thread is for. The kernel cuts the names after 15 characters. */
  enum Group {
    LOOP("multiThreadIoEv"),
    COMPILER("C1 CompilerThre"),
    MAIN("java"),
    OTHER("");

    private final String threadName;

    Group(String threadName) {
      this.threadName = threadName;
    }

    /** The group of a thread by the name that the kernel has of it. */
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

  private ThreadTimes(Map<Group, Long> nanos) {
    this.nanos = nanos;
  }

  ThreadTimes plus(Group group, long more) {
    Map<Group, Long> sum = new EnumMap<>(Group.class);
    sum.putAll(nanos);
    sum.merge(group, more, Long::sum);
    return new ThreadTimes(sum);
  }

  ThreadTimes minus(ThreadTimes other) {
    ThreadTimes result = this;
    for (Group group : Group.values()) {
      result = result.plus(group, -other.nanos.getOrDefault(group, 0L));
    }
    return result;
  }

  double millis(Group group) {
    return nanos.getOrDefault(group, 0L) / 1e6;
  }

  double millis() {
    return nanos.values().stream().mapToLong(Long::longValue).sum() / 1e6;
  }
}
