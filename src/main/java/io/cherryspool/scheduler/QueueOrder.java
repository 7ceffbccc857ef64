package io.cherryspool.scheduler;

import io.cherryspool.model.Job;
import io.cherryspool.scheduler.ClusterView.FreeTask;
import io.cherryspool.scheduler.ClusterView.JobView;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * The order of the queue: priority, then as the design's source orders compaction jobs, lower level
 * first, unassigned before lapsed, fewer failures, earliest lapse. The source's level tells small
 * work from large; here it is the size of the whole job, by powers of four.
 */
final class QueueOrder {
  private static final Comparator<Entry> ORDER =
      Comparator.comparing((Entry entry) -> entry.job().job().priority())
          .reversed()
          .thenComparingInt(Entry::level)
          .thenComparing(Entry::retried)
          .thenComparingInt(Entry::failures)
          .thenComparing(Entry::lapsed)
          .thenComparing(entry -> entry.job().job().submitted())
          .thenComparing(entry -> entry.job().job().id());

  private QueueOrder() {}

  /** Tasks of one job that have the same place in the queue. */
  record Entry(
      JobView job,
      int level,
      boolean retried,
      int failures,
      Duration lapsed,
      List<Integer> tasks) {}

  static List<Entry> of(List<JobView> jobs) {
    List<Entry> entries = new ArrayList<>();
    for (JobView view : jobs) {
      int level = level(view.job());
      List<Integer> fresh = new ArrayList<>();
      for (FreeTask task : view.free()) {
        if (task.attempts() == 0) {
          fresh.add(task.number());
        } else {
          Duration lapsed = task.lapsed() == null ? Duration.ZERO : task.lapsed();
          entries.add(
              new Entry(view, level, true, task.failures(), lapsed, List.of(task.number())));
        }
      }
      if (!fresh.isEmpty()) {
        entries.add(new Entry(view, level, false, 0, Duration.ZERO, fresh));
      }
    }
    entries.sort(ORDER);
    return entries;
  }

  static int level(Job job) {
    double work =
        job.tasks() * Math.max(0.1, job.perTask().cpus()) * Math.max(1, job.estimate().toSeconds());
    return (int) Math.max(0, Math.floor(Math.log(work) / Math.log(4)));
  }
}
