package io.cherryspool.store;

import java.util.concurrent.CompletionException;

/** A request to the state store failed, or its answer must not be used. */
public final class StateStoreException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  /** What is known of the request's effect. */
  public enum Kind {
    /** It was not executed, and may be tried again. */
    NOT_EXECUTED,
    /** It was not executed, since all nodes together exceed the state store's limits. */
    RATE_LIMITED,
    /** It may have been executed, or may still be. */
    OUTCOME_UNKNOWN,
    /** What it names no longer exists: an expired lease, or history that was compacted. */
    GONE,
    /** It can't succeed as it is. */
    INVALID_REQUEST;

    /** The meaning of an HTTP status that is not a success. */
    static Kind ofStatus(int status) {
      return switch (status) {
        case 429 -> RATE_LIMITED;
        case 503 -> NOT_EXECUTED;
        case 404, 410 -> GONE;
        case 400 -> INVALID_REQUEST;
        default -> OUTCOME_UNKNOWN;
      };
    }
  }

  private final Kind kind;

  /** A failure of this kind; the message says what failed. */
  public StateStoreException(Kind kind, String message) {
    super(message);
    this.kind = kind;
  }

  /** What is known of the request's effect. */
  public Kind kind() {
    return kind;
  }

  /**
   * The kind of a failure, also if it is wrapped in {@link CompletionException}s; {@link
   * Kind#OUTCOME_UNKNOWN} for any other exception.
   */
  public static Kind kindOf(Throwable failure) {
    Throwable cause = failure;
    while (cause instanceof CompletionException && cause.getCause() != null) {
      cause = cause.getCause();
    }
    return cause instanceof StateStoreException e ? e.kind : Kind.OUTCOME_UNKNOWN;
  }
}
