package io.cherryspool.model;

import it.unimi.dsi.fastutil.ints.Int2ObjectMap;
import it.unimi.dsi.fastutil.ints.Int2ObjectMaps;
import it.unimi.dsi.fastutil.ints.Int2ObjectOpenHashMap;
import java.util.BitSet;

/**
 * The committed progress of one range of a job's tasks: which are done, which are owned, and what
 * the others have behind them. Immutable; {@link #edit} starts the next version.
 */
public final class Shard {
  public static final Shard EMPTY =
      new Shard(new BitSet(), new Int2ObjectOpenHashMap<>(), new Int2ObjectOpenHashMap<>());

  /** How often a task was started, and how often it failed or lapsed. */
  public record History(int attempts, int failures) {
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

  public boolean isDone(int task) {
    return done.get(task);
  }

  public int doneCount() {
    return done.cardinality();
  }

  /** The owned task's attempt, or null. */
  public Attempt ownedAttempt(int task) {
    return ownedAttempts.get(task);
  }

  public Int2ObjectMap<Attempt> ownedAttempts() {
    return Int2ObjectMaps.unmodifiable(ownedAttempts);
  }

  public Int2ObjectMap<History> histories() {
    return Int2ObjectMaps.unmodifiable(history);
  }

  public History history(int task) {
    return history.getOrDefault(task, History.NONE);
  }

  /**
   * The first done task from the given number on, or -1; with {@link #nextNotDone} it walks ranges.
   */
  public int nextDone(int from) {
    return done.nextSetBit(from);
  }

  public int nextNotDone(int from) {
    return done.nextClearBit(from);
  }

  public Editor edit() {
    return new Editor(this);
  }

  /** Builds the next version. Each change states the move that the rules permit. */
  public static final class Editor {
    private final BitSet done;
    private final Int2ObjectMap<Attempt> owned;
    private final Int2ObjectMap<History> putHistory;

    private Editor(Shard from) {
      done = (BitSet) from.done.clone();
      owned = new Int2ObjectOpenHashMap<>(from.ownedAttempts);
      putHistory = new Int2ObjectOpenHashMap<>(from.history);
    }

    public Editor markDone(int first, int last) {
      done.set(first, last + 1);
      return this;
    }

    public Editor putHistory(int task, History value) {
      putHistory.put(task, value);
      return this;
    }

    public Editor putOwnedAttempt(Attempt attempt) {
      owned.put(attempt.taskIndex(), attempt);
      return this;
    }

    /** Gives a free task to a machine. */
    public Editor assign(int task, String machine, long session, long token) {
      if (done.get(task) || owned.containsKey(task)) {
        throw new IllegalStateException("task " + task + " is not free");
      }
      History before = putHistory.getOrDefault(task, History.NONE);
      int attempt = before.attempts() + 1;
      putHistory.put(task, new History(attempt, before.failures()));
      owned.put(task, new Attempt(task, machine, session, attempt, token));
      return this;
    }

    /** The task runs as this attempt, although no record says that it was started. */
    public Editor adopt(Attempt attempt) {
      History before = putHistory.getOrDefault(attempt.taskIndex(), History.NONE);
      int attempts = Math.max(before.attempts(), attempt.number());
      putHistory.put(attempt.taskIndex(), new History(attempts, before.failures()));
      owned.put(attempt.taskIndex(), attempt);
      return this;
    }

    /** The task's end as done is proved. */
    public Editor complete(int task) {
      owned.remove(task);
      putHistory.remove(task);
      done.set(task);
      return this;
    }

    /** The attempt's end is proved, and the task is free again. */
    public Editor release(int task, boolean failed) {
      owned.remove(task);
      if (failed) {
        History before = putHistory.getOrDefault(task, History.NONE);
        putHistory.put(task, new History(before.attempts(), before.failures() + 1));
      }
      return this;
    }

    public Shard build() {
      return new Shard(done, owned, putHistory);
    }
  }
}
