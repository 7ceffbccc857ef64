package io.cherryspool.model;

import it.unimi.dsi.fastutil.ints.Int2ObjectMap;
import it.unimi.dsi.fastutil.ints.Int2ObjectMaps;
import it.unimi.dsi.fastutil.ints.Int2ObjectOpenHashMap;
import java.util.BitSet;

/**
 * The committed progress of one range of a job's tasks: which are done, which are owned by an
 * attempt, and the history of those that are not done. Tasks are named by their index in the job.
 * Immutable; {@link #edit} starts the next version.
 */
public final class Shard {
  /** The shard of tasks that were never started. */
  public static final Shard EMPTY =
      new Shard(new BitSet(), new Int2ObjectOpenHashMap<>(), new Int2ObjectOpenHashMap<>());

  /**
   * The past of a task that is not done.
   *
   * @param attempts how often it was started
   * @param failures how often it failed or was lost with its machine
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

  /** The number of tasks recorded as done. */
  public int doneCount() {
    return done.cardinality();
  }

  /** The attempt that owns the task, null if it is free or done. */
  public Attempt ownedAttempt(int task) {
    return ownedAttempts.get(task);
  }

  /** The attempts of all owned tasks, by task; a read-only view. */
  public Int2ObjectMap<Attempt> ownedAttempts() {
    return Int2ObjectMaps.unmodifiable(ownedAttempts);
  }

  /** The histories of all tasks that have one, by task; a read-only view. */
  public Int2ObjectMap<History> histories() {
    return Int2ObjectMaps.unmodifiable(history);
  }

  /** The task's history, {@link History#NONE} if it was never started. */
  public History history(int task) {
    return history.getOrDefault(task, History.NONE);
  }

  /**
   * The first done task from the given one on, -1 if there is none. With {@link #nextNotDone} it
   * enumerates the ranges of done tasks.
   */
  public int nextDone(int from) {
    return done.nextSetBit(from);
  }

  /** The first task from the given one on that is not done, which may lie beyond the range. */
  public int nextNotDone(int from) {
    return done.nextClearBit(from);
  }

  /** A new editor that starts from this version. */
  public Editor edit() {
    return new Editor(this);
  }

  /**
   * Builds the next version of a shard. Not safe for use by several threads.
   *
   * <p>{@link #markDone}, {@link #putHistory} and {@link #putOwnedAttempt} restore recorded
   * progress as it is; the other methods are the transitions of a task.
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

    /** Records the tasks from first to last, both included, as done. */
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
     * Assigns a free task to a machine, as the task's next attempt.
     *
     * @throws IllegalStateException if the task is done or owned
     */
    public Editor assign(int task, String machine, long agentEpoch, long fencingToken) {
      if (done.get(task) || owned.containsKey(task)) {
        throw new IllegalStateException("task " + task + " is not free");
      }
      History before = history.getOrDefault(task, History.NONE);
      int attempt = before.attempts() + 1;
      history.put(task, new History(attempt, before.failures()));
      owned.put(task, new Attempt(task, machine, agentEpoch, attempt, fencingToken));
      return this;
    }

    /** Records an attempt that runs although no record says that it was started. */
    public Editor adopt(Attempt attempt) {
      History before = history.getOrDefault(attempt.taskIndex(), History.NONE);
      int attempts = Math.max(before.attempts(), attempt.number());
      history.put(attempt.taskIndex(), new History(attempts, before.failures()));
      owned.put(attempt.taskIndex(), attempt);
      return this;
    }

    /** Records that the task is done, which must be proved. */
    public Editor complete(int task) {
      owned.remove(task);
      history.remove(task);
      done.set(task);
      return this;
    }

    /** Frees a task whose attempt is proved to have ended, and counts a failure if it failed. */
    public Editor release(int task, boolean failed) {
      owned.remove(task);
      if (failed) {
        History before = history.getOrDefault(task, History.NONE);
        history.put(task, new History(before.attempts(), before.failures() + 1));
      }
      return this;
    }

    /** The version that the changes lead to; the editor must not be used any more. */
    public Shard build() {
      return new Shard(done, owned, history);
    }
  }
}
