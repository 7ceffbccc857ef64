package io.cherryspool.model;

import it.unimi.dsi.fastutil.ints.Int2ObjectMap;
import it.unimi.dsi.fastutil.ints.Int2ObjectMaps;
import it.unimi.dsi.fastutil.ints.Int2ObjectOpenHashMap;
import java.util.BitSet;

/**
 * The committed progress of one range of a job's tasks: the done tasks, the tasks owned by an
 * attempt, and the histories of tasks that are not done. Tasks are identified by their index in the
 * job. Shards are immutable; {@link #edit} creates an editor for the next version.
 */
public final class Shard {
  /** The shard of a range in which no task was ever started. */
  public static final Shard EMPTY =
      new Shard(new BitSet(), new Int2ObjectOpenHashMap<>(), new Int2ObjectOpenHashMap<>());

  /**
   * The history of a task that is not done.
   *
   * @param attempts how often the task was started
   * @param failures how often the task failed or was lost with its machine
   */
  public record History(int attempts, int failures) {
    /** The history of a task that was never started. */
    public static final History NONE = new History(0, 0);
  }

  private final BitSet done;
  private final Int2ObjectMap<Attempt> ownedAttempts;
  private final Int2ObjectMap<History> history;

  private Shard(BitSet done, Int2ObjectMap<Attempt> owned, Int2ObjectMap<History> history) {
    this.done = done;
    this.ownedAttempts = owned;
    this.history = history;
  }

  /** Whether the task is recorded as done. */
  public boolean isDone(int task) {
    return done.get(task);
  }

  /** Returns the number of tasks that are recorded as done. */
  public int doneCount() {
    return done.cardinality();
  }

  /** Returns the attempt that owns the task, null if the task is free or done. */
  public Attempt ownedAttempt(int task) {
    return ownedAttempts.get(task);
  }

  /** Returns a read-only view of the attempts of all owned tasks by task. */
  public Int2ObjectMap<Attempt> ownedAttempts() {
    return Int2ObjectMaps.unmodifiable(ownedAttempts);
  }

  /** Returns a read-only view of the histories by task, for all tasks that have one. */
  public Int2ObjectMap<History> histories() {
    return Int2ObjectMaps.unmodifiable(history);
  }

  /** Returns the history of the task, {@link History#NONE} if it was never started. */
  public History history(int task) {
    return history.getOrDefault(task, History.NONE);
  }

  /**
   * Returns the first done task that is not before the given one, or -1 if there is none. Together
   * with {@link #nextNotDone} it enumerates the ranges of done tasks.
   */
  public int nextDone(int from) {
    return done.nextSetBit(from);
  }

  /**
   * Returns the first task that is not done and not before the given one; it may lie beyond the
   * shard's range.
   */
  public int nextNotDone(int from) {
    return done.nextClearBit(from);
  }

  /** Returns a new editor that starts from this version. */
  public Editor edit() {
    return new Editor(this);
  }

  /**
   * Builds the next version of a shard. Editors are not thread-safe.
   *
   * <p>{@link #markDone}, {@link #putHistory} and {@link #putOwnedAttempt} restore recorded
   * progress unchanged; the other methods are state transitions of a task.
   */
  public static final class Editor {
    private final BitSet done;
    private final Int2ObjectMap<Attempt> owned;
    private final Int2ObjectMap<History> history;

    private Editor(Shard from) {
      done = (BitSet) from.done.clone();
      owned = new Int2ObjectOpenHashMap<>(from.ownedAttempts);
      history = new Int2ObjectOpenHashMap<>(from.history);
    }

    /** Records the tasks from {@code first} to {@code last} inclusive as done. */
    public Editor markDone(int first, int last) {
      done.set(first, last + 1);
      return this;
    }

    /** Records the task's history. */
    public Editor putHistory(int task, History value) {
      history.put(task, value);
      return this;
    }

    /** Records that the attempt owns its task. */
    public Editor putOwnedAttempt(Attempt attempt) {
      owned.put(attempt.taskIndex(), attempt);
      return this;
    }

    /**
     * Assigns a free task to a machine, as the next attempt of the task.
     *
     * @throws IllegalStateException if the task is done or owned
     */
    public Editor assign(int task, String machine, long agentEpoch, long fencingToken) {
      if (done.get(task) || owned.containsKey(task)) {
        throw new IllegalStateException(
            "cannot assign task " + task + ": it is done or owned by an attempt");
      }
      History before = history.getOrDefault(task, History.NONE);
      int attempt = before.attempts() + 1;
      history.put(task, new History(attempt, before.failures()));
      owned.put(task, new Attempt(task, machine, agentEpoch, attempt, fencingToken));
      return this;
    }

    /** Records a running attempt whose start was not recorded. */
    public Editor adopt(Attempt attempt) {
      History before = history.getOrDefault(attempt.taskIndex(), History.NONE);
      int attempts = Math.max(before.attempts(), attempt.number());
      history.put(attempt.taskIndex(), new History(attempts, before.failures()));
      owned.put(attempt.taskIndex(), attempt);
      return this;
    }

    /** Records that the task is done. The caller must have proof of its completion. */
    public Editor complete(int task) {
      owned.remove(task);
      history.remove(task);
      done.set(task);
      return this;
    }

    /**
     * Frees a task whose attempt is proved to have ended, and counts a failure if {@code
     * hasFailed}.
     */
    public Editor release(int task, boolean hasFailed) {
      owned.remove(task);
      if (hasFailed) {
        History before = history.getOrDefault(task, History.NONE);
        history.put(task, new History(before.attempts(), before.failures() + 1));
      }
      return this;
    }

    /** Returns the version with all changes. The editor must not be used afterwards. */
    public Shard build() {
      return new Shard(done, owned, history);
    }
  }
}
