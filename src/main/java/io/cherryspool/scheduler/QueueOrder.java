package io.cherryspool.scheduler;

import io.cherryspool.model.Job;
import io.cherryspool.scheduler.ClusterView.FreeTask;
import io.cherryspool.scheduler.ClusterView.JobView;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * The order of the queue: priority, then the earliest deadline that can still be met (an exception
 * to the source, see docs/design.md), then as the design's source orders compaction jobs, lower
 * level first, unassigned before lapsed, fewer failures, earliest lapse. The source's level tells
 * small work from large; here it is the size of the whole job, by powers of four.
 */
final class QueueOrder {
  private static final Comparator<Entry> ORDER =
      Comparator.comparing((Entry entry) -> entry.job().job().priority())
          .reversed()
          .thenComparing(Entry::due)
          .thenComparingInt(Entry::level)
          .thenComparing(Entry::retried)
          .thenComparingInt(Entry::failures)
          .thenComparing(Entry::lapsed)
          .thenComparing(entry -> entry.job().job().submitted())
          .thenComparing(entry -> entry.job().job().id());

  private static final List<Double> JUST_ONCE = List.of(1.0);

  private QueueOrder() {}

  /** Tasks of one job that have the same place in the queue. */
  record Entry(
      JobView job,
      Instant due,
      int level,
      boolean retried,
      int failures,
      Duration lapsed,
      List<Integer> tasks) {}

  static List<Entry> of(ClusterView cluster) {
    List<Entry> entries = new ArrayList<>();
    for (JobView view : cluster.jobs()) {
      Instant due = due(view.job(), cluster);
      int level = level(view.job());
      List<Integer> fresh = new ArrayList<>();
      for (FreeTask task : view.free()) {
        if (task.attempts() == 0) {
          fresh.add(task.number());
        } else {
          Duration lapsed = task.lapsed() == null ? Duration.ZERO : task.lapsed();
          entries.add(
              new Entry(view, due, level, true, task.failures(), lapsed, List.of(task.number())));
        }
      }
      if (!fresh.isEmpty()) {
        entries.add(new Entry(view, due, level, false, 0, Duration.ZERO, fresh));
      }
    }
    entries.sort(ORDER);
    return entries;
  }

  /** The next moment named by the aims that one more run of its tasks can still meet. */
  static Instant due(Job job, ClusterView cluster) {
    if (job.deadline() != null) {
      Instant soonest = cluster.now().plus(job.estimate());
      for (double times : cluster.deadlineTimes().getOrDefault(job.jobClass(), JUST_ONCE)) {
        Instant due = job.submitted().plusMillis((long) (job.deadline().toMillis() * times));
        if (!due.isBefore(soonest)) {
          return due;
        }
      }
    }
    return Instant.MAX;
  }

  static int level(Job job) {
    double work =
        job.tasks() * Math.max(0.1, job.perTask().cpus()) * Math.max(1, job.estimate().toSeconds());
    return (int) Math.max(0, Math.floor(Math.log(work) / Math.log(4)));
  }
}
