package io.cherryspool.store;

import java.util.concurrent.CompletionException;

/** Thrown if a request to the state store failed or its answer must not be used. */
public final class StateStoreException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  /** What is known about the effect of the request. */
  public enum Kind {
    /** The request was not executed and may be retried. */
    NOT_EXECUTED,
    /**
     * The request was not executed, because all nodes together exceed the state store's rate
     * limits.
     */
    RATE_LIMITED,
    /** The request may have been executed, or may still be executed later. */
    OUTCOME_UNKNOWN,
    /**
     * The request refers to something that no longer exists: an expired lease or compacted history.
     */
    GONE,
    /** The request is invalid and can't succeed. */
    INVALID_REQUEST;

    /** Returns the kind of failure that an HTTP error status stands for. */
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

  /** Creates an exception of this kind. */
  public StateStoreException(Kind kind, String message) {
    super(message);
    this.kind = kind;
  }

  /** What is known about the effect of the request. */
  public Kind kind() {
    return kind;
  }

  /**
   * Returns the kind of a failure, which may be wrapped in {@link CompletionException}s. Returns
   * {@link Kind#OUTCOME_UNKNOWN} for any other exception.
   */
  public static Kind kindOf(Throwable failure) {
    Throwable cause = failure;
    while (cause instanceof CompletionException && cause.getCause() != null) {
      cause = cause.getCause();
    }
    return cause instanceof StateStoreException e ? e.kind : Kind.OUTCOME_UNKNOWN;
  }
}
